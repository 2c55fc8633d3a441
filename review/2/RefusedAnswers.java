import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two services with one server each behind one front. A full server rejects with 503 and Not-Run. One of the servers sends a
 * second copy of a twentieth of its answers late: where the next answer on that channel is expected.
 */
public final class RefusedAnswers {
    private static final int SLOTS = 6;
    private static final int QUEUE = 1;
    private static final int WORK_MS = 43;
    private static final int EXTRA_EACH = 20; // x = 0.05
    private static final int LOAD_S = 80;
    private static final int PER_S = 115;

    private static final Map<String, List<String>> runs = new ConcurrentHashMap<>();
    private static final Map<String, Integer> answered = new ConcurrentHashMap<>();
    private static final AtomicInteger answers = new AtomicInteger();
    private static final AtomicInteger extras = new AtomicInteger();
    private static final AtomicInteger rejected = new AtomicInteger();
    private static volatile boolean isFaulty;

    public static void main(String[] args) throws Exception {
        Harness h = new Harness(args[0]);
        h.declare(1,
            "{\"name\":\"book\",\"host\":\"shop.example\",\"path-prefix\":\"/book/\",\"kind\":\"unsafe\",\"timeout-ms\":2500,"
                + "\"target-latency-ms\":193,\"priority\":2,\"service\":\"desk\",\"max-attempts\":2,\"public\":false},"
                + "{\"name\":\"look\",\"host\":\"shop.example\",\"path-prefix\":\"/look/\",\"kind\":\"unsafe\",\"timeout-ms\":2500,"
                + "\"target-latency-ms\":193,\"priority\":2,\"service\":\"stock\",\"max-attempts\":2,\"public\":false}",
            "{\"name\":\"desk\",\"health-path\":\"/health\",\"max-conns\":110},"
                + "{\"name\":\"stock\",\"health-path\":\"/health\",\"max-conns\":110}");
        h.register("desk-0", "desk", server(h, "desk", 0), SLOTS, "ready");
        h.register("stock-0", "stock", server(h, "stock", 1), SLOTS, "ready");
        h.startBeats();
        h.startFronts(1, 58);
        long startMs = Harness.ms();
        Random random = new Random(1);
        List<Thread> callers = new ArrayList<>();
        double dueMs = startMs;
        for (int n = 0; dueMs < startMs + LOAD_S * 1_000; n++) {
            dueMs += -Math.log(1 - random.nextDouble()) * 1_000 / PER_S;
            Harness.sleep((long) dueMs - Harness.ms());
            long sinceMs = Harness.ms() - startMs;
            boolean faulty = h.trouble && sinceMs % 10_000 > 2_000 && sinceMs % 10_000 < 7_500;
            if (faulty != isFaulty) h.log(faulty ? "desk-0 begins to send extra copies" : "desk-0 is sound");
            isFaulty = faulty;
            int number = n;
            callers.add(Harness.spawn(() -> call(h, "/book/x", "b" + number)));
            if (n % 10 == 0) callers.add(Harness.spawn(() -> call(h, "/look/x", "l" + number)));
        }
        for (Thread caller : callers) caller.join(5_000);
        Harness.sleep(500);
        int twice = 0;
        int refused = 0;
        int served = 0;
        for (Map.Entry<String, Integer> answer : answered.entrySet()) {
            List<String> ran = runs.getOrDefault(answer.getKey(), List.of());
            int status = answer.getValue();
            if (status == 200) served++;
            if (ran.size() > 1) {
                twice++;
                h.log("TWICE: " + answer.getKey() + " has run at " + ran + ", its caller got " + status);
            }
            if (!ran.isEmpty() && List.of(503, 429, 408, 421).contains(status)) {
                refused++;
                h.log("REFUSED: " + answer.getKey() + " has run at " + ran + ", its caller got " + status);
            }
        }
        String sum = "requests " + answered.size() + ", served " + served + ", rejected by full servers " + rejected
            + ", extra copies " + extras + ", run twice " + twice + ", refused though run " + refused;
        h.log(sum);
        System.out.println(sum);
        if (served < answered.size() / 4) h.finish(2);
        h.finish(twice + refused > 0 ? 1 : 0);
    }

    private static void call(Harness h, String path, String id) throws Exception {
        try (Harness.Caller caller = new Harness.Caller(h.fronts.get(0).address(), 3_000)) {
            Harness.Message answer = caller.send("POST", path, Harness.headers(id, 2_500), ("booking " + id).getBytes());
            answered.put(id, answer.status);
            h.log("caller " + id + " gets " + answer.status);
        } catch (Exception e) {
            answered.put(id, 0);
            h.log("caller " + id + " gets no answer: " + e);
        }
    }

    private static String server(Harness h, String name, int number) throws Exception {
        Object lock = new Object();
        int[] present = new int[2]; // running, waiting
        Random random = new Random(number);
        return new Harness.Server(h.ip(100 + number), (request, channel) -> {
            channel.sendExtra();
            String id = request.header("Request-Id");
            if (id == null) {
                channel.send(Harness.response(200, Map.of("Instance-Id", name + "-0"), new byte[0]));
                return;
            }
            Map<String, String> head = new LinkedHashMap<>();
            head.put("Request-Id", id);
            byte[] answer;
            boolean isFull;
            synchronized (lock) {
                isFull = present[0] + present[1] >= SLOTS + QUEUE;
                if (!isFull) present[1]++;
            }
            if (isFull) {
                rejected.incrementAndGet();
                head.put("Not-Run", "1");
                answer = Harness.response(503, head, new byte[0]);
                h.log(name + "-0 rejects " + id);
            } else {
                synchronized (lock) {
                    while (present[0] >= SLOTS) lock.wait();
                    present[1]--;
                    present[0]++;
                }
                runs.computeIfAbsent(id, i -> java.util.Collections.synchronizedList(new ArrayList<>())).add(name + "-0");
                h.log(name + "-0 runs " + id);
                Harness.sleep((long) (WORK_MS * (0.5 + random.nextDouble())));
                synchronized (lock) {
                    present[0]--;
                    lock.notifyAll();
                }
                head.put("Server-Stamp", "stamp." + id);
                answer = Harness.response(200, head, ("done " + id).getBytes());
            }
            channel.send(answer);
            if (number != 0 || !isFaulty) return;
            // One answer in twenty at most; which one is the server's affair: here a rejection.
            if (answers.incrementAndGet() / EXTRA_EACH > extras.get() && isFull) {
                channel.extra = answer;
                extras.incrementAndGet();
                h.log("desk-0 will send a second copy of its answer to " + id);
            }
        }).address;
    }
}
