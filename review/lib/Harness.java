import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Shared parts of the cases: the store of the platform, raw HTTP servers and callers, and the processes of the system,
 * which are started with the run line of the deploy file. Everything is on loopback addresses.
 */
final class Harness {
    static final long T0 = System.nanoTime();
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path dir;
    final PrintWriter record;
    final Store store;
    final List<Front> fronts = new CopyOnWriteArrayList<>();
    /** Second byte of the addresses. The guard holds it, so that runs at the same time do not meet. */
    final int net;
    private final ServerSocket guard;

    Harness(String folder) throws Exception {
        int free = 16 + (int) (ProcessHandle.current().pid() % 200);
        ServerSocket held = null;
        while (held == null) {
            try {
                held = new ServerSocket(8600, 1, InetAddress.getByName("127." + free + ".7.254"));
            } catch (IOException e) {
                free = 16 + (free - 15) % 200;
            }
        }
        net = free;
        guard = held;
        dir = Files.createTempDirectory("review");
        record = new PrintWriter(Files.newBufferedWriter(Path.of(folder, "record.txt")), true);
        store = new Store(ip(250));
        log("trouble=" + trouble);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> fronts.forEach(Front::destroy)));
        Thread watchdog = new Thread(() -> {
            sleep(112_000);
            log("the case did not end in time");
            finish(2);
        });
        watchdog.setDaemon(true);
        watchdog.start();
    }

    String ip(int host) { return "127." + net + ".7." + host; }

    static long ms() { return (System.nanoTime() - T0) / 1_000_000; }

    void log(String line) {
        synchronized (record) { record.printf("%8d ms  %s%n", ms(), line); }
    }

    static void sleep(long ms) {
        try { Thread.sleep(Math.max(0, ms)); } catch (InterruptedException e) { throw new RuntimeException(e); }
    }

    static Thread spawn(ThrowingRunnable task) {
        Thread thread = new Thread(null, () -> {
            try { task.run(); } catch (Exception e) { /* the connection ended */ }
        }, "case", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    interface ThrowingRunnable { void run() throws Exception; }

    /** Ends all processes, then this one. */
    void finish(int status) {
        log("exit " + status);
        System.out.println("exit " + status + (status == 1 ? " (rule broken)" : status == 0 ? " (rule held)" : " (not run)"));
        fronts.forEach(Front::destroy);
        try (var files = Files.walk(dir)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // The logs of the processes stay.
        }
        Runtime.getRuntime().halt(status);
    }

    // ---------------------------------------------------------------- the system's processes

    final class Front {
        final String name;
        final String ip;
        final String zone;
        final File settings;
        volatile Process process;
        int life = 0;

        Front(int number, String zone, List<String> seeds, int retrySlack) throws IOException {
            name = "front-" + number;
            ip = ip(number + 1);
            this.zone = zone;
            settings = dir.resolve(name + ".conf").toFile();
            Files.writeString(settings.toPath(), String.join("\n",
                "node=" + name, "role=front", "machine-class=front", "serves=front,directory,control",
                "ip=" + ip, "zone=" + zone, "region=r", "zones." + zone + "=r",
                "listen.front=" + ip + ":8625", "listen.ready=" + ip + ":8621",
                "listen.control=" + ip + ":8628", "listen.directory=" + ip + ":8620",
                "port-range=7740,7755", "seeds=" + String.join(",", seeds), "bootstrap=true",
                "limits.cpu-share=0.75", "limits.cores=1", "limits.memory-mb=430", "limits.max-fds=4100",
                "discovery=platform", "entry=directory", "heartbeat-ms=1200",
                "bounds.reuse-after-s=2", "bounds.stable-window-ms=3000", "bounds.ack-ms=4000",
                "bounds.drain-ms=2000", "bounds.grace-s=8", "bounds.config-ms=2000", "bounds.retry-ratio=0.2",
                "bounds.retry-window-s=10", "bounds.retry-slack=" + retrySlack, "bounds.recover-s=12",
                "bounds.ttl_max_s=5", "platform.address=" + store.address, "platform.form=log", ""));
        }

        void start() throws IOException {
            ProcessBuilder builder = new ProcessBuilder(runLine());
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("SESAMEROUTER_SETTINGS", settings.getPath());
            builder.redirectErrorStream(true).redirectOutput(dir.resolve(name + "-" + ++life + ".log").toFile());
            process = builder.start();
            log(name + " started as process " + process.pid());
        }

        void signal(String signal) throws Exception {
            log(name + " gets SIG" + signal);
            new ProcessBuilder("kill", "-" + signal, "" + process.pid()).start().waitFor();
        }

        boolean isReady() {
            try { return get(ip + ":8621", "/v1/ready", 1_000).status == 200; } catch (IOException e) { return false; }
        }

        boolean awaitReady(long untilMs) {
            while (ms() < untilMs) { if (isReady()) return true; sleep(100); }
            return false;
        }

        String address() { return ip + ":8625"; }

        void destroy() {
            Process running = process;
            if (running != null) running.destroyForcibly();
        }
    }

    static List<String> runLine() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) return List.of(line.substring(7, line.lastIndexOf('"')).split(" "));
        }
        throw new IOException("no run line");
    }

    /** Starts [count] fronts and waits until they are ready. */
    void startFronts(int count, int retrySlack) throws Exception {
        List<String> seeds = new ArrayList<>();
        for (int i = 0; i < Math.min(3, count); i++) seeds.add(ip(i + 1) + ":8628");
        for (int i = 0; i < count; i++) fronts.add(new Front(i, "z", seeds, retrySlack));
        for (Front front : fronts) front.start();
        for (Front front : fronts) {
            if (!front.awaitReady(40_000)) { log(front.name + " did not become ready"); finish(2); }
        }
        sleep(2_000); // the fronts find each other
        log("all fronts are ready");
    }

    // ---------------------------------------------------------------- HTTP, on plain sockets

    static final class Message {
        String line = "";
        int status;
        final TreeMap<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];
        boolean isComplete = true;
        String header(String name) { return headers.get(name); }
        String text() { return new String(body, StandardCharsets.UTF_8); }
        String path() { return line.split(" ")[1]; }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) throw new EOFException();
            if (next == '\n') break;
            if (next != '\r') out.write(next);
        }
        return out.toString(StandardCharsets.UTF_8);
    }

    static Message readMessage(InputStream in, boolean isResponse) throws IOException {
        Message message = new Message();
        message.line = readLine(in);
        if (isResponse) message.status = Integer.parseInt(message.line.split(" ")[1]);
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            message.headers.put(line.substring(0, line.indexOf(':')), line.substring(line.indexOf(':') + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        String length = message.header("Content-Length");
        try {
            if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
                while (true) {
                    int size = Integer.parseInt(readLine(in), 16);
                    body.write(in.readNBytes(size));
                    readLine(in);
                    if (size == 0) break;
                }
            } else if (length != null) {
                byte[] bytes = in.readNBytes(Integer.parseInt(length));
                body.write(bytes);
                if (bytes.length < Integer.parseInt(length)) message.isComplete = false;
            } else if (isResponse) {
                body.write(in.readAllBytes());
            }
        } catch (IOException e) {
            message.isComplete = false;
        }
        message.body = body.toByteArray();
        return message;
    }

    static byte[] response(int status, Map<String, String> headers, byte[] body) {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        byte[] bytes = head.toString().getBytes(StandardCharsets.UTF_8);
        ByteBuffer out = ByteBuffer.allocate(bytes.length + body.length).put(bytes).put(body);
        return out.array();
    }

    /** Sends one GET on a channel of its own. */
    static Message get(String address, String path, int timeoutMs) throws IOException {
        try (Caller caller = new Caller(address, timeoutMs)) {
            return caller.send("GET", path, Map.of("Host", address, "Connection", "close"), new byte[0]);
        }
    }

    /** A kept channel of a caller. */
    static final class Caller implements AutoCloseable {
        final Socket socket = new Socket();
        final InputStream in;

        Caller(String address, int timeoutMs) throws IOException {
            String[] parts = address.split(":");
            socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1_000);
            socket.setSoTimeout(timeoutMs);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
        }

        void write(String method, String path, Map<String, String> headers, byte[] body) throws IOException {
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            if (body.length > 0 || !method.equals("GET")) head.append("Content-Length: ").append(body.length).append("\r\n");
            head.append("\r\n");
            byte[] bytes = head.toString().getBytes(StandardCharsets.UTF_8);
            OutputStream out = socket.getOutputStream();
            out.write(ByteBuffer.allocate(bytes.length + body.length).put(bytes).put(body).array());
            out.flush();
        }

        Message send(String method, String path, Map<String, String> headers, byte[] body) throws IOException {
            write(method, path, headers, body);
            return readMessage(in, true);
        }

        @Override public void close() throws IOException { socket.close(); }
    }

    interface Handler { void handle(Message request, Channel channel) throws Exception; }

    /** A channel that a server has accepted. */
    static final class Channel {
        final Socket socket;
        /** An extra copy of the last response, sent where the next response is expected. */
        byte[] extra;
        Channel(Socket socket) { this.socket = socket; }

        void send(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
        }

        void sendExtra() throws IOException {
            if (extra == null) return;
            send(extra);
            extra = null;
        }
    }

    /** A server that handles the requests of each channel one at a time. */
    static final class Server {
        final ServerSocket socket;
        final String address;

        Server(String ip, Handler handler) throws IOException {
            socket = new ServerSocket(0, 500, InetAddress.getByName(ip));
            address = ip + ":" + socket.getLocalPort();
            spawn(() -> {
                while (true) {
                    Socket accepted = socket.accept();
                    accepted.setTcpNoDelay(true);
                    spawn(() -> {
                        try (accepted) {
                            Channel channel = new Channel(accepted);
                            InputStream in = new BufferedInputStream(accepted.getInputStream());
                            while (true) handler.handle(readMessage(in, false), channel);
                        }
                    });
                }
            });
        }
    }

    // ---------------------------------------------------------------- the platform's store

    static final class Store {
        private record Entry(String key, byte[] value) { }
        private final Map<String, List<Entry>> topics = new LinkedHashMap<>();
        final String address;

        Store(String ip) throws IOException {
            address = new Server(ip, this::handle).address;
        }

        synchronized void put(String topic, String key, byte[] value) {
            topics.computeIfAbsent(topic, t -> new ArrayList<>()).add(new Entry(key, value));
            notifyAll();
        }

        void put(String topic, String key, String value) { put(topic, key, value.getBytes(StandardCharsets.UTF_8)); }

        private static Map<String, String> query(String path) {
            Map<String, String> query = new LinkedHashMap<>();
            for (String pair : path.substring(path.indexOf('?') + 1).split("&")) {
                query.put(pair.split("=")[0], pair.substring(pair.indexOf('=') + 1));
            }
            return query;
        }

        private void handle(Message request, Channel channel) throws Exception {
            Map<String, String> query = query(request.path());
            String topic = query.get("topic");
            byte[] body;
            if (request.path().startsWith("/v1/log-newest")) {
                body = newest(topic).getBytes(StandardCharsets.UTF_8);
            } else if (request.path().startsWith("/v1/log-append")) {
                ByteBuffer record = ByteBuffer.wrap(request.body);
                record.getInt();
                byte[] key = new byte[record.get()];
                record.get(key);
                byte[] value = new byte[record.remaining()];
                record.get(value);
                put(topic, new String(key, StandardCharsets.UTF_8), value);
                body = "{\"offset\":0,\"end\":1}".getBytes(StandardCharsets.UTF_8);
            } else {
                long waitMs = Long.parseLong(query.getOrDefault("wait-ms", "0"));
                body = read(topic, Integer.parseInt(query.get("from")), waitMs);
            }
            sleep(4);
            channel.send(response(200, Map.of("Content-Type", "application/json"), body));
        }

        private synchronized String newest(String topic) {
            List<Entry> all = topics.getOrDefault(topic, List.of());
            Map<String, Integer> last = new LinkedHashMap<>();
            for (int i = 0; i < all.size(); i++) last.put(all.get(i).key(), i);
            StringBuilder items = new StringBuilder();
            last.forEach((key, offset) -> {
                if (all.get(offset).value().length == 0) return;
                if (items.length() > 0) items.append(',');
                items.append("{\"key\":\"").append(key).append("\",\"value\":\"")
                    .append(Base64.getEncoder().encodeToString(all.get(offset).value()))
                    .append("\",\"offset\":").append(offset).append('}');
            });
            return "{\"items\":[" + items + "],\"more\":false,\"end\":" + all.size() + "}";
        }

        private synchronized byte[] read(String topic, int from, long waitMs) throws Exception {
            long untilMs = ms() + waitMs;
            while (topics.getOrDefault(topic, List.of()).size() <= from && ms() < untilMs) wait(untilMs - ms() + 1);
            List<Entry> all = topics.getOrDefault(topic, List.of());
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            DataOutputStream data = new DataOutputStream(out);
            data.writeLong(all.size());
            data.writeLong(0);
            for (Entry entry : all.subList(Math.min(from, all.size()), all.size())) {
                byte[] key = entry.key().getBytes(StandardCharsets.UTF_8);
                data.writeInt(1 + key.length + entry.value().length);
                data.writeByte(key.length);
                data.write(key);
                data.write(entry.value());
            }
            return out.toByteArray();
        }
    }

    // ---------------------------------------------------------------- entries of servers

    private final Map<String, String> beats = new ConcurrentHashMap<>();
    private int beat = 0;

    /** Registers a server and keeps its entry renewed. */
    void register(String id, String service, String address, int slots, String state) {
        String entry = "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"z\",\"version\":\"v1\","
            + "\"slots\":" + slots + ",\"state\":\"" + state + "\",\"cold-left-ms\":0,\"born\":1780000000000,\"seq-no\":";
        beats.put(id, entry);
        store.put("keyed.servers", id, entry + beat + "}");
    }

    void startBeats() {
        spawn(() -> {
            while (true) {
                sleep(1_200);
                beat++;
                beats.forEach((id, entry) -> store.put("keyed.servers", id, entry + beat + "}"));
            }
        });
    }

    /** A manifest with one tenant whose key is k1. */
    void declare(int version, String routes, String services) {
        store.put("keyed.op", "config", "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[" + services
            + "],\"tenants\":[{\"name\":\"t1\",\"api-keys\":[\"k1\"],\"priority\":1}],\"limits\":{\"max-header-bytes\":16384,"
            + "\"max-body-bytes\":4194304,\"header-timeout-ms\":5000,\"idle-timeout-ms\":20000}}");
    }

    static final String HOST = "shop.example";

    static Map<String, String> headers(String id, int deadlineMs) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", HOST);
        headers.put("Request-Id", id);
        headers.put("Deadline-Ms", "" + deadlineMs);
        headers.put("Authorization", "Bearer k1");
        return headers;
    }
}
