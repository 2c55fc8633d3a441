import java.io.File;
import java.io.IOException;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * A host starts while one of three booking servers leaves and its other hosts are lost: its entry is removed just after the store has
 * answered the first call for the newest entries. With the disruption, another writer has put so many entries into the
 * store that the list has two pages.
 */
public class PagedEntries {
    static final int FOREIGN_ENTRIES = 520;
    static final int DRAIN_MS = 2_000;
    static final int STABLE_WINDOW_MS = 3_000;
    static final int SERVES_ON_MS = 15_000; // after its entry was removed
    static final int CALLERS = 12;

    public static void main(String[] args) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Map<String, Integer> ends = new ConcurrentSkipListMap<>();
        AtomicLong removedMs = new AtomicLong(-1);
        AtomicInteger late = new AtomicInteger();
        AtomicInteger unanswered = new AtomicInteger();
        try (Lab lab = new Lab(new File(args[0]))) {
            String[] ids = {"i-a1", "i-a2", "i-a3"};
            String leaver = ids[0];
            Map<String, Lab.Server> servers = new HashMap<>();
            Map<String, Long> sentMs = new ConcurrentHashMap<>();
            long[] readyMs = new long[1];
            for (String id : ids) {
                Lab.Server server = lab.new Server((request, connection) -> {
                    String requestId = request.header("Request-Id");
                    if (request.path().equals("/health")) {
                        connection.answer(200, "Instance-Id: " + id + "\r\n", Lab.EMPTY);
                        return;
                    }
                    if (!id.equals(request.header("Expect-Instance"))) {
                        connection.answer(421, "Not-Run: 1\r\n", Lab.EMPTY);
                        return;
                    }
                    long outMs = removedMs.get();
                    long sent = sentMs.get(requestId);
                    if (id.equals(leaver) && outMs >= 0 && sent > outMs + DRAIN_MS && sent > readyMs[0] + STABLE_WINDOW_MS) {
                        if (late.incrementAndGet() <= 20) {
                            lab.record("booking " + requestId + ", sent " + (sent - outMs) + " ms after " + id
                                + " was removed, reaches it");
                        }
                    }
                    Thread.sleep(100);
                    connection.answer(200, "Request-Id: " + requestId + "\r\nServer-Stamp: " + id + "." + requestId + "\r\n",
                        "done".getBytes());
                });
                servers.put(id, server);
                lab.store.put("keyed.servers", id, Lab.entry("booking", server.address, 6, "ready", 1_780_900_284_000L, 1));
            }
            if (hasTrouble) {
                for (int i = 0; i < FOREIGN_ENTRIES; i++) {
                    lab.store.put("keyed.servers", String.format("x-%03d", i), "{\"service\":\"elsewhere\",\"state\":\"idle\"}");
                }
                lab.record(FOREIGN_ENTRIES + " entries of another writer are in the store");
            }
            Runnable leave = () -> {
                if (!removedMs.compareAndSet(-1, lab.nowMs())) return;
                lab.store.put("keyed.servers", leaver, "");
                lab.record("the entry of " + leaver + " is removed; it serves on for " + SERVES_ON_MS + " ms");
                lab.thread(() -> {
                    Thread.sleep(SERVES_ON_MS);
                    lab.record(leaver + " ends");
                    servers.get(leaver).close();
                });
            };
            lab.store.afterNewest = topic -> {
                if (topic.equals("keyed.servers")) leave.run();
            };
            lab.thread(() -> {
                for (int beat = 2; ; beat++) {
                    Thread.sleep(1_200);
                    for (String id : ids) {
                        if (id.equals(leaver) && removedMs.get() >= 0) continue;
                        lab.store.put("keyed.servers", id,
                            Lab.entry("booking", servers.get(id).address, 6, "ready", 1_780_900_284_000L, beat));
                    }
                }
            });
            lab.store.put("keyed.op", "config", manifest());
            lab.startHosts(1);
            readyMs[0] = lab.nowMs();
            Thread.sleep(STABLE_WINDOW_MS + 500);
            long endMs = removedMs.get() + SERVES_ON_MS + 2_000;
            CountDownLatch callers = new CountDownLatch(CALLERS);
            for (int c = 0; c < CALLERS; c++) {
                int caller = c;
                lab.thread(() -> {
                    for (int n = 0; lab.nowMs() < endMs; n++) {
                        String id = String.format("%04x%012x", caller, n);
                        sentMs.put(id, lab.nowMs());
                        String end = book(lab.hosts.get(0), id);
                        ends.merge(end, 1, Integer::sum);
                        if (!end.equals("200") && !end.equals("503")) {
                            unanswered.incrementAndGet();
                            lab.record("booking " + id + " ends with " + end);
                        }
                        Thread.sleep(50);
                    }
                    callers.countDown();
                });
            }
            callers.await(40, TimeUnit.SECONDS);
            lab.record("bookings " + ends);
            lab.record("DRAIN: " + late + " bookings, sent over " + DRAIN_MS + " ms after " + leaver + " was removed, reached it; "
                + unanswered + " were lost");
            if (removedMs.get() < 0 || !ends.containsKey("200")) throw new IllegalStateException("nothing shown");
        } catch (Exception e) {
            e.printStackTrace();
            System.exit(2);
        }
        System.exit(late.get() > 0 ? 1 : 0);
    }

    private static String book(Lab.Host host, String id) {
        try {
            Lab.Message answer = Lab.exchange(host.front(), "POST /book/a HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id
                + "\r\nDeadline-Ms: 2500\r\nAuthorization: Bearer k1\r\nContent-Length: 4\r\n\r\nbook", 4_000);
            return answer == null ? "no answer" : "" + answer.status();
        } catch (IOException e) {
            return e.toString();
        }
    }

    private static String manifest() {
        return "{\"version\":3,\"routes\":[{\"name\":\"book\",\"host\":\"shop.example\",\"path-prefix\":\"/book/\",\"kind\":\"unsafe\","
            + "\"timeout-ms\":1200,\"target-latency-ms\":193,\"priority\":2,\"service\":\"booking\",\"max-attempts\":1,"
            + "\"public\":false}],\"services\":[{\"name\":\"booking\",\"health-path\":\"/health\",\"max-conns\":110}],"
            + "\"tenants\":[{\"name\":\"choir\",\"api-keys\":[\"k1\"],\"priority\":1}],\"limits\":{\"max-header-bytes\":16384,"
            + "\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}";
    }
}
