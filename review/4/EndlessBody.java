import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two model servers and two plain servers behind two fronts. One model server is in trouble: after the head of a stream
 * it sends bytes that are no events, without end, until the caller closes.
 */
public final class EndlessBody {
    private static final int CHUNK_BYTES = Integer.getInteger("chunk.bytes", 4);
    private static final int TIMEOUT_MS = 2_500;

    private record Sent(String id, long sentMs, long answeredMs, int status) { }

    private static final List<Sent> plain = new CopyOnWriteArrayList<>();
    private static final AtomicInteger endless = new AtomicInteger();
    private static volatile boolean isInTrouble;

    public static void main(String[] args) throws Exception {
        Harness h = new Harness(args[0]);
        h.declare(1,
            "{\"name\":\"plan\",\"host\":\"shop.example\",\"path-prefix\":\"/plan/\",\"kind\":\"streaming\",\"timeout-ms\":12000,"
                + "\"target-latency-ms\":1400,\"priority\":0,\"service\":\"model\",\"max-attempts\":2,\"public\":false,"
                + "\"sticky\":true,\"resumable\":true,\"gap-aim-ms\":400},"
                + "{\"name\":\"look\",\"host\":\"shop.example\",\"path-prefix\":\"/look/\",\"kind\":\"safe\",\"timeout-ms\":"
                + TIMEOUT_MS + ",\"target-latency-ms\":193,\"priority\":2,\"service\":\"desk\",\"max-attempts\":2,\"public\":false}",
            "{\"name\":\"model\",\"health-path\":\"/health\",\"max-conns\":370,\"engine\":{\"slots\":64,\"kv-capacity\":600000}},"
                + "{\"name\":\"desk\",\"health-path\":\"/health\",\"max-conns\":110}");
        for (int i = 0; i < 2; i++) {
            h.register("model-" + i, "model", model(h, i), 64, "ready");
            h.register("desk-" + i, "desk", desk(h, i), 6, "ready");
        }
        h.startBeats();
        h.startFronts(2, 58);
        long startMs = Harness.ms();
        List<Thread> callers = new ArrayList<>();
        // 20 plain requests and 4 streams a second for 20 s; the server is in trouble from 5 s to 10 s.
        for (int n = 0; n < 20 * 20; n++) {
            Harness.sleep(startMs + n * 50L - Harness.ms());
            boolean trouble = h.trouble && n >= 100 && n < 200;
            if (trouble != isInTrouble) h.log(trouble ? "model-0 is in trouble" : "model-0 is sound");
            isInTrouble = trouble;
            int number = n;
            callers.add(Harness.spawn(() -> look(h, "look" + number, h.fronts.get(number % 2).address())));
            if (n % 5 == 0) callers.add(Harness.spawn(() -> plan(h, "plan" + number, h.fronts.get(number / 5 % 2).address())));
        }
        for (Thread caller : callers) caller.join(Math.max(1, startMs + 45_000 - Harness.ms()));
        int late = 0;
        int overdue = 0;
        int served = 0;
        long longestMs = 0;
        for (Sent sent : plain) {
            long tookMs = sent.answeredMs() - sent.sentMs();
            longestMs = Math.max(longestMs, tookMs);
            if (sent.status() == 200) served++;
            if (tookMs > TIMEOUT_MS) late++;
            if (tookMs > TIMEOUT_MS + 500) overdue++;
        }
        String sum = "plain requests " + plain.size() + ", served " + served + ", unanswered at timeout-ms " + late
            + ", half a second later " + overdue + ", longest " + longestMs + " ms, endless bodies " + endless;
        h.log(sum);
        System.out.println(sum);
        if (served < 40) h.finish(2);
        boolean isBroken = late >= 8 && overdue * 2 > late;
        if (isBroken) h.log("CONFIG: more than half of the requests unanswered at timeout-ms have no answer 0.5 s later");
        h.finish(isBroken ? 1 : 0);
    }

    private static void look(Harness h, String id, String address) {
        long sentMs = Harness.ms();
        int status = 0;
        try (Harness.Caller caller = new Harness.Caller(address, 30_000)) {
            status = caller.send("GET", "/look/x", Harness.headers(id, 5_000), new byte[0]).status;
        } catch (Exception e) {
            h.log("caller " + id + ": " + e);
        }
        plain.add(new Sent(id, sentMs, Harness.ms(), status));
        h.log("caller " + id + " gets " + status + " after " + (Harness.ms() - sentMs) + " ms");
    }

    private static void plan(Harness h, String id, String address) {
        Map<String, String> headers = Harness.headers(id, 12_000);
        headers.put("Model", "m");
        headers.put("Token-Counts", "100,8");
        headers.put("Prefix-Hash", Integer.toHexString(id.hashCode()) + ":100");
        try (Harness.Caller caller = new Harness.Caller(address, 12_500)) {
            Harness.Message answer = caller.send("POST", "/plan/x", headers, "prompt".getBytes());
            h.log("caller " + id + " gets " + answer.status + (answer.isComplete ? "" : ", cut"));
        } catch (Exception e) {
            h.log("caller " + id + ": " + e);
        }
    }

    private static String model(Harness h, int number) throws Exception {
        return new Harness.Server(h.ip(120 + number), (request, channel) -> {
            String id = request.header("Request-Id");
            if (id == null) {
                channel.send(Harness.response(200, Map.of("Instance-Id", "model-" + number), new byte[0]));
                return;
            }
            channel.send(("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: stamp." + id
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").getBytes());
            if (number == 0 && isInTrouble) {
                h.log("model-0 answers " + id + " without end (" + endless.incrementAndGet() + ")");
                String chunk = Integer.toHexString(CHUNK_BYTES) + "\r\n" + "x".repeat(CHUNK_BYTES) + "\r\n";
                byte[] bytes = chunk.repeat(8_192 / chunk.length()).getBytes();
                long sent = 0;
                try {
                    while (true) { channel.send(bytes); sent += bytes.length; }
                } finally {
                    h.log("model-0: the channel of " + id + " is closed after " + sent + " bytes");
                }
            }
            for (int event = 1; event <= 5; event++) {
                String text = "id: " + event + "\ndata: " + number + "\n\n";
                channel.send((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes());
                Harness.sleep(50);
            }
            channel.send("0\r\n\r\n".getBytes());
            h.log("model-" + number + " has run " + id);
        }).address;
    }

    private static String desk(Harness h, int number) throws Exception {
        return new Harness.Server(h.ip(100 + number), (request, channel) -> {
            String id = request.header("Request-Id");
            Harness.sleep(20);
            Map<String, String> head = id == null ? Map.of("Instance-Id", "desk-" + number)
                : Map.of("Request-Id", id, "Server-Stamp", "stamp." + id);
            channel.send(Harness.response(200, head, "stock".getBytes()));
        }).address;
    }
}
