import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * Two hosts serve bookings over kept connections. One caller sends one request of a route with a stage; with the
 * disruption it asks for very many pieces, and is sent once more elsewhere when its connection ends without an answer.
 */
public class ManyPieces {
    static final String PIECES = "1000000";
    static final String USUAL_PIECES = "6";
    static final int CALLERS = 24;
    static final int SECONDS = 12;

    public static void main(String[] args) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Set<String> passedOn = ConcurrentHashMap.newKeySet();
        Map<String, Integer> ends = new ConcurrentSkipListMap<>();
        AtomicInteger lost = new AtomicInteger();
        int endedHosts = 0;
        try (Lab lab = new Lab(new File(args[0]))) {
            for (int i = 0; i < 3; i++) {
                String id = "i-desk-" + i;
                Lab.Server server = lab.new Server((request, connection) -> {
                    if (!id.equals(request.header("Expect-Instance"))) {
                        connection.answer(421, "Not-Run: 1\r\n", Lab.EMPTY);
                        return;
                    }
                    passedOn.add(request.header("Request-Id"));
                    Thread.sleep(150);
                    connection.answer(200, answerHeaders(request, id), "done".getBytes());
                });
                lab.store.put("keyed.servers", id, Lab.entry("desk", server.address, 16, "ready", System.currentTimeMillis(), 1));
            }
            Lab.Server engine = lab.new Server((request, connection) -> {
                connection.answer(200, answerHeaders(request, "i-model") + "Content-Type: text/event-stream\r\n",
                    "id: 1\ndata: whole\n\n".getBytes());
            });
            lab.store.put("keyed.servers", "i-model", Lab.entry("model", engine.address, 64, "ready", System.currentTimeMillis(), 1));
            String[] stageAddress = new String[1];
            Lab.Server stage = lab.new Server((request, connection) -> runStage(stageAddress[0], request, connection));
            stageAddress[0] = stage.address;
            lab.store.put("keyed.servers", "i-stock", Lab.entry("stock", stage.address, 1, "ready", System.currentTimeMillis(), 1));
            lab.store.put("keyed.op", "config", manifest());
            lab.startHosts(2);
            Thread.sleep(4_000);
            long endMs = lab.nowMs() + SECONDS * 1_000;
            CountDownLatch callers = new CountDownLatch(CALLERS);
            for (int c = 0; c < CALLERS; c++) {
                int caller = c;
                lab.thread(() -> {
                    book(lab, caller, endMs, passedOn, ends, lost);
                    callers.countDown();
                });
            }
            Thread.sleep(4_000);
            String pieces = hasTrouble ? PIECES : USUAL_PIECES;
            for (int attempt = 0; attempt < 2; attempt++) {
                Lab.Host host = lab.hosts.get(attempt);
                String end = plan(host, "plan-" + attempt, pieces);
                lab.record("a plan of " + pieces + " pieces at " + host.name + ": " + end);
                if (!end.equals("no answer")) break;
            }
            callers.await(SECONDS + 10, TimeUnit.SECONDS);
            for (Lab.Host host : lab.hosts) if (!host.process.isAlive()) endedHosts++;
            lab.record("bookings " + ends);
            lab.record("hosts that ended by themselves: " + endedHosts + " of 2");
            lab.record("LOST: " + lost + " bookings were passed on to a sound server, and their kept connection was closed "
                + "without an answer");
            if (!ends.containsKey("200")) throw new IllegalStateException("nothing served");
        } catch (Exception e) {
            e.printStackTrace();
            System.exit(2);
        }
        System.exit(lost.get() > 3 ? 1 : 0);
    }

    private static String answerHeaders(Lab.Message request, String id) {
        String requestId = request.header("Request-Id");
        return "Request-Id: " + requestId + "\r\nServer-Stamp: " + id + "." + requestId + "\r\n";
    }

    private static void runStage(String address, Lab.Message request, Lab.Connection connection) throws Exception {
        StringBuilder items = new StringBuilder();
        if (request.path().startsWith("/v1/stage-run")) {
            int count = request.text().split("\"id\"").length - 1;
            for (int i = 0; i < count; i++) {
                long handle = ThreadLocalRandom.current().nextLong() & Long.MAX_VALUE;
                items.append(i == 0 ? "" : ",").append("{\"handle\":\"").append(address).append('/').append(Long.toHexString(handle))
                    .append("\"}");
            }
            Thread.sleep(240 + 20L * count);
        }
        connection.answer(200, "Content-Type: application/json\r\n", ("{\"items\":[" + items + "]}").getBytes());
    }

    /** Sends bookings one after another on a kept connection. */
    private static void book(
        Lab lab, int caller, long endMs, Set<String> passedOn, Map<String, Integer> ends, AtomicInteger lost
    ) throws Exception {
        Lab.Host host = lab.hosts.get(caller % 2);
        Socket socket = null;
        InputStream in = null;
        for (int n = 0; lab.nowMs() < endMs; n++) {
            String id = String.format("%04x%012x", caller, n);
            boolean isKept = socket != null;
            String end;
            try {
                if (socket == null) {
                    socket = Lab.connect(host.front());
                    socket.setSoTimeout(4_000);
                    in = new BufferedInputStream(socket.getInputStream());
                }
                socket.getOutputStream().write(("POST /book/a HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id
                    + "\r\nDeadline-Ms: 2500\r\nAuthorization: Bearer k1\r\nContent-Length: 4\r\n\r\nbook")
                    .getBytes(StandardCharsets.ISO_8859_1));
                Lab.Message answer = Lab.read(in, true);
                end = answer == null || !answer.whole ? "no answer" : "" + answer.status();
            } catch (ConnectException e) {
                end = "refused";
            } catch (IOException e) {
                end = "no answer";
            }
            ends.merge(end, 1, Integer::sum);
            if (end.equals("no answer") || end.equals("refused")) {
                if (isKept && passedOn.contains(id)) {
                    lost.incrementAndGet();
                    lab.record("booking " + id + " was passed on by " + host.name + "; its connection ended without an answer");
                }
                if (socket != null) socket.close();
                socket = null;
                Thread.sleep(1_000);
            }
        }
    }

    private static String plan(Lab.Host host, String id, String pieces) {
        try {
            Lab.Message answer = Lab.exchange(host.front(), "POST /plan/a HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id
                + "\r\nDeadline-Ms: 12000\r\nAuthorization: Bearer k1\r\nModel: m\r\nToken-Counts: 500,60\r\nPrefix-Hash: ab:200,cd:300"
                + "\r\nPieces: " + pieces + "\r\nPiece-Key: 7c1e07a291bd\r\nContent-Length: 4\r\n\r\nplan", 14_000);
            return answer == null ? "no answer" : "" + answer.status();
        } catch (IOException e) {
            return "no answer";
        }
    }

    private static String manifest() {
        return "{\"version\":3,\"routes\":[{\"name\":\"plan\",\"host\":\"shop.example\",\"path-prefix\":\"/plan/\",\"kind\":\"streaming\","
            + "\"timeout-ms\":12000,\"target-latency-ms\":1400,\"priority\":0,\"service\":\"model\",\"max-attempts\":2,\"public\":false,"
            + "\"sticky\":true,\"resumable\":true,\"gap-aim-ms\":400,\"stages\":[{\"service\":\"stock\",\"after\":[],\"bytes\":8000}]},"
            + "{\"name\":\"book\",\"host\":\"shop.example\",\"path-prefix\":\"/book/\",\"kind\":\"unsafe\",\"timeout-ms\":1200,"
            + "\"target-latency-ms\":193,\"priority\":2,\"service\":\"desk\",\"max-attempts\":1,\"public\":false}],\"services\":["
            + "{\"name\":\"model\",\"health-path\":\"/health\",\"max-conns\":270,\"engine\":{\"slots\":64,\"kv-capacity\":607174}},"
            + "{\"name\":\"desk\",\"health-path\":\"/health\",\"max-conns\":110},"
            + "{\"name\":\"stock\",\"health-path\":\"/health\",\"max-conns\":270,\"pieces\":{\"slots\":1,\"queue\":2,\"batch\":17,"
            + "\"call-ms\":240.0,\"item-ms\":12.0,\"headroom-mb\":8.4,\"handle-s\":4.0}}],"
            + "\"tenants\":[{\"name\":\"choir\",\"api-keys\":[\"k1\"],\"priority\":1}],\"limits\":{\"max-header-bytes\":16384,"
            + "\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}";
    }
}
