import java.io.*;
import java.net.*;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.function.Consumer;

/**
 * A small deployment on loopback addresses: the platform's store, servers, clients, and the hosts, which are started as
 * separate processes with the command of deploy/system.toml. Everything that happens goes to the record.
 */
public class Lab implements AutoCloseable {
    static final byte[] EMPTY = new byte[0];

    /** A parsed head with its body. */
    static class Message {
        String first = "";
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = EMPTY;
        boolean whole;

        String method() { return first.split(" ")[0]; }
        String path() { return first.split(" ")[1]; }
        int status() { return Integer.parseInt(first.split(" ")[1]); }
        String header(String name) { return headers.get(name); }
        String text() { return new String(body, StandardCharsets.UTF_8); }
    }

    /** Called for each request that a server has read. */
    interface Handler { void handle(Message request, Connection connection) throws Exception; }

    /** A connection at a server. */
    static class Connection implements AutoCloseable {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream(), 16384);
            out = socket.getOutputStream();
        }

        void write(String text) throws IOException { write(text.getBytes(StandardCharsets.ISO_8859_1)); }

        void write(byte[] bytes) throws IOException { out.write(bytes); out.flush(); }

        void answer(int status, String headers, byte[] body) throws IOException {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
            all.write(body);
            write(all.toByteArray());
        }

        @Override public void close() throws IOException { socket.close(); }
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) return null;
            if (b != '\r') text.write(b);
        }
        return text.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads one message; null at the end of the connection. A body that is cut leaves {@code whole} false. */
    static Message read(InputStream in, boolean isAnswer) throws IOException {
        Message message = new Message();
        message.first = line(in);
        if (message.first == null) return null;
        for (String line = line(in); ; line = line(in)) {
            if (line == null) return null;
            if (line.isEmpty()) break;
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        String length = message.header("Content-Length");
        if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
            while (true) {
                String size = line(in);
                if (size == null) { message.body = body.toByteArray(); return message; }
                int count = Integer.parseInt(size.split(";")[0].trim(), 16);
                byte[] part = in.readNBytes(count);
                body.write(part);
                if (part.length < count || line(in) == null) { message.body = body.toByteArray(); return message; }
                if (count == 0) break;
            }
            message.whole = true;
        } else if (length != null) {
            body.write(in.readNBytes(Integer.parseInt(length)));
            message.whole = body.size() == Integer.parseInt(length);
        } else if (isAnswer) {
            body.write(in.readAllBytes());
            message.whole = true;
        } else {
            message.whole = true;
        }
        message.body = body.toByteArray();
        return message;
    }

    /** A server on an own port of 127.0.0.1. */
    class Server {
        final ServerSocket listening;
        final String address;
        final Set<Connection> open = ConcurrentHashMap.newKeySet();

        Server(Handler handler) throws IOException {
            listening = new ServerSocket();
            listening.setReuseAddress(true);
            listening.bind(new InetSocketAddress("127.0.0.1", 0), 512);
            address = "127.0.0.1:" + listening.getLocalPort();
            thread(() -> {
                while (true) {
                    Connection connection = new Connection(listening.accept());
                    open.add(connection);
                    thread(() -> {
                        try (connection) {
                            for (Message m = read(connection.in, false); m != null; m = read(connection.in, false)) {
                                handler.handle(m, connection);
                            }
                        } catch (IOException e) {
                            // the other side has closed
                        } finally {
                            open.remove(connection);
                        }
                    });
                }
            });
        }

        void close() throws IOException {
            listening.close();
            for (Connection connection : open) {
                connection.socket.setSoLinger(true, 0);
                connection.close();
            }
        }
    }

    interface Task { void run() throws Exception; }

    void thread(Task task) {
        Thread thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (Exception e) {
                if (!isClosed && !(e instanceof SocketException)) record("stand-in: " + e);
            }
        }, "lab", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    /** The platform's store: keyed topics with one partition. */
    class Store {
        final Map<String, List<Object[]>> topics = new HashMap<>();
        /** The most records on a page of the newest ones. */
        int pageItems = 500;
        /** Rises each time that the store comes back from a copy. */
        int era;
        /** Whether calls are answered with 503. */
        volatile boolean isDown;
        /** Time that an answer takes. */
        volatile long answerMs = 4;
        /** Called with the topic after each answer to a call for the newest records. */
        volatile Consumer<String> afterNewest = topic -> { };
        final Server server = new Server(this::handle);

        Store() throws IOException { }

        synchronized long put(String topic, String key, byte[] value) {
            List<Object[]> records = topics.computeIfAbsent(topic, t -> new ArrayList<>());
            records.add(new Object[] {key, value});
            notifyAll();
            return records.size() - 1;
        }

        /** The number of records of each topic. */
        synchronized Map<String, Integer> sizes() {
            Map<String, Integer> sizes = new HashMap<>();
            topics.forEach((topic, records) -> sizes.put(topic, records.size()));
            return sizes;
        }

        /** Comes back from a copy that was made when the topics had {@code sizes} records. */
        synchronized void restore(Map<String, Integer> sizes) {
            topics.forEach((topic, records) -> records.subList(sizes.getOrDefault(topic, 0), records.size()).clear());
            era++;
            notifyAll();
        }

        private void reply(Connection connection, int status, String type, byte[] body) throws IOException {
            connection.answer(status, "Store-Era: " + era + "\r\nContent-Type: application/" + type + "\r\n", body);
        }

        long put(String topic, String key, String value) { return put(topic, key, value.getBytes()); }

        void handle(Message request, Connection connection) throws Exception {
            String path = request.path();
            Map<String, String> query = new HashMap<>();
            for (String part : path.substring(path.indexOf('?') + 1).split("&")) {
                query.put(part.split("=")[0], URLDecoder.decode(part.substring(part.indexOf('=') + 1), "UTF-8"));
            }
            String topic = query.get("topic");
            Thread.sleep(answerMs);
            if (isDown) {
                reply(connection, 503, "json", EMPTY);
                return;
            }
            if (path.startsWith("/v1/log-newest")) {
                newest(topic, query.get("after"), connection);
            } else if (path.startsWith("/v1/log-append")) {
                ByteBuffer body = ByteBuffer.wrap(request.body);
                byte[] record = new byte[body.getInt()];
                body.get(record);
                int size = record[0] & 255;
                long offset = put(topic, new String(record, 1, size), Arrays.copyOfRange(record, 1 + size, record.length));
                reply(connection, 200, "json", ("{\"offset\":" + offset + ",\"end\":" + (offset + 1) + "}").getBytes());
            } else {
                long wait = Long.parseLong(query.getOrDefault("wait-ms", "0"));
                read(topic, Integer.parseInt(query.get("from")), wait, connection);
            }
        }

        private void newest(String topic, String after, Connection connection) throws IOException {
            StringBuilder items = new StringBuilder();
            int count = 0;
            long end;
            boolean more = false;
            synchronized (this) {
                List<Object[]> records = topics.getOrDefault(topic, List.of());
                end = records.size();
                TreeMap<String, Integer> newest = new TreeMap<>();
                for (int i = 0; i < records.size(); i++) newest.put((String) records.get(i)[0], i);
                for (var entry : (after == null ? newest : newest.tailMap(after, false)).entrySet()) {
                    byte[] value = (byte[]) records.get(entry.getValue())[1];
                    if (value.length == 0) continue;
                    if (count == pageItems || items.length() > 1_000_000) { more = true; break; }
                    if (count++ > 0) items.append(',');
                    items.append("{\"key\":\"").append(entry.getKey()).append("\",\"value\":\"")
                        .append(Base64.getEncoder().encodeToString(value)).append("\",\"offset\":").append(entry.getValue())
                        .append('}');
                }
            }
            String body = "{\"items\":[" + items + "],\"more\":" + more + ",\"end\":" + end + "}";
            reply(connection, 200, "json", body.getBytes());
            afterNewest.accept(topic);
        }

        private void read(String topic, int from, long waitMs, Connection connection) throws Exception {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            DataOutputStream data = new DataOutputStream(out);
            synchronized (this) {
                long until = System.nanoTime() + waitMs * 1_000_000;
                while (topics.getOrDefault(topic, List.of()).size() <= from && System.nanoTime() < until) {
                    wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
                }
                List<Object[]> records = topics.getOrDefault(topic, List.of());
                if (records.size() < from) {
                    reply(connection, 410, "json", "{\"first\":0}".getBytes());
                    return;
                }
                data.writeLong(records.size());
                data.writeLong(0);
                for (int i = from; i < records.size() && out.size() < 1024 * 1024; i++) {
                    byte[] key = ((String) records.get(i)[0]).getBytes();
                    byte[] value = (byte[]) records.get(i)[1];
                    data.writeInt(1 + key.length + value.length);
                    data.writeByte(key.length);
                    data.write(key);
                    data.write(value);
                }
            }
            reply(connection, 200, "octet-stream", out.toByteArray());
        }
    }

    /** A machine with the one role of the deploy file. */
    class Host {
        final String ip;
        final String name;
        final int port;
        final File settings;
        Process process;
        int starts;

        Host(String name, String ip, int port) {
            this.name = name;
            this.ip = ip;
            this.port = port;
            settings = new File(folder, name + ".conf");
        }

        String front() { return ip + ":" + port; }

        void start() throws IOException {
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.environment().put("SESAMEROUTER_SETTINGS", settings.getPath());
            builder.redirectErrorStream(true).redirectOutput(new File(folder, name + "-" + starts++ + ".log"));
            process = builder.start();
            String life = name + " life " + starts;
            record(life + " starts");
            process.onExit().thenAccept(p -> record(life + " ended with status " + p.exitValue()));
        }

        void signal(String signal) throws Exception {
            record(name + " SIG" + signal);
            new ProcessBuilder("kill", "-" + signal, "" + process.pid()).start().waitFor();
        }

        boolean isReady() {
            try {
                return get(ip + ":" + (port + 1), "/v1/ready").status() == 200;
            } catch (Exception e) {
                return false;
            }
        }
    }

    final File folder = Files.createTempDirectory("lab").toFile();
    final List<String> command = new ArrayList<>();
    final List<Host> hosts = new ArrayList<>();
    final PrintWriter log;
    final long startedMs = System.nanoTime() / 1_000_000;
    final Store store;
    volatile boolean isClosed;

    Lab(File record) throws Exception {
        log = new PrintWriter(new FileWriter(record), true);
        for (String text : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (text.startsWith("run = ")) command.addAll(List.of(text.substring(7, text.length() - 1).split(" ")));
        }
        store = new Store();
        Runtime.getRuntime().addShutdownHook(new Thread(this::endHosts));
    }

    long nowMs() { return System.nanoTime() / 1_000_000 - startedMs; }

    void record(String text) {
        synchronized (log) { log.println(String.format("%8.3f  %s", nowMs() / 1000.0, text)); }
    }

    /** Starts {@code count} hosts in zone "west" and waits until they are ready. */
    void startHosts(int count) throws Exception { startHosts(count, ""); }

    void startHosts(int count, String moreSettings) throws Exception {
        Random random = new Random();
        String net = "127." + (20 + random.nextInt(90)) + "." + random.nextInt(250) + ".";
        int port = 12_000 + random.nextInt(18_000);
        while (!areFree(net, count, port)) port = 12_000 + random.nextInt(18_000);
        for (int i = 1; i <= count; i++) hosts.add(new Host("host-" + i, net + i, port));
        for (Host host : hosts) {
            StringBuilder seeds = new StringBuilder();
            for (Host other : hosts) seeds.append(seeds.length() == 0 ? "" : ",").append(other.ip).append(':').append(port + 3);
            Files.writeString(host.settings.toPath(), String.join("\n",
                "node=" + host.name, "role=front", "machine-class=front", "serves=front,directory,control",
                "ip=" + host.ip, "zone=west", "region=r", "zones.west=r",
                "listen.front=" + host.ip + ":" + port, "listen.ready=" + host.ip + ":" + (port + 1),
                "listen.directory=" + host.ip + ":" + (port + 2), "listen.control=" + host.ip + ":" + (port + 3),
                "port-range=" + (port + 4) + "," + (port + 19), "seeds=" + seeds, "bootstrap=true",
                "limits.cpu-share=0.75", "limits.cores=1", "limits.memory-mb=430", "limits.max-fds=4100",
                "heartbeat-ms=1200", "bounds.drain-ms=2000", "bounds.grace-s=8", "bounds.config-ms=2000",
                "bounds.stable-window-ms=3000", "bounds.loss-slack-ms=200", "bounds.retry-ratio=0.2",
                "bounds.retry-window-s=10", "bounds.retry-slack=58", "bounds.ttl_max_s=5",
                "platform.address=" + store.server.address, "platform.form=log", moreSettings, ""));
            host.start();
        }
        for (Host host : hosts) awaitReady(host);
    }

    /** Whether no other program listens at the ports that the hosts use. */
    private static boolean areFree(String net, int count, int port) {
        for (int i = 1; i <= count; i++) {
            for (int p = port; p < port + 20; p++) {
                try (ServerSocket socket = new ServerSocket()) {
                    socket.bind(new InetSocketAddress(net + i, p));
                } catch (IOException e) {
                    return false;
                }
            }
        }
        return true;
    }

    void awaitReady(Host host) throws Exception {
        long until = nowMs() + 40_000;
        while (!host.isReady()) {
            if (nowMs() > until) throw new IllegalStateException(host.name + " is not ready after 40 s");
            Thread.sleep(50);
        }
        record(host.name + " is ready");
    }

    static Message get(String address, String path) throws IOException {
        return exchange(address, "GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 2_000);
    }

    static Socket connect(String address) throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(address.split(":")[0], Integer.parseInt(address.split(":")[1])), 1_000);
        socket.setTcpNoDelay(true);
        return socket;
    }

    /** Sends {@code request} on a new connection and returns the answer; null if the connection ends without one. */
    static Message exchange(String address, String request, int timeoutMs) throws IOException {
        try (Socket socket = connect(address)) {
            socket.setSoTimeout(timeoutMs);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            return read(new BufferedInputStream(socket.getInputStream()), true);
        }
    }

    /** The text of a server's entry in the platform's store. */
    static String entry(String service, String address, int slots, String state, long bornMs, int number) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"west\",\"version\":\"v1\",\"slots\":"
            + slots + ",\"state\":\"" + state + "\",\"cold-left-ms\":0,\"seq-no\":" + number + ",\"born\":" + bornMs + "}";
    }

    private void endHosts() {
        for (Host host : hosts) if (host.process != null) host.process.destroyForcibly();
    }

    @Override public void close() throws Exception {
        isClosed = true;
        endHosts();
        for (Host host : hosts) if (host.process != null) host.process.waitFor(10, TimeUnit.SECONDS);
        File[] files = folder.listFiles();
        if (files != null && System.getenv("KEEP") == null) {
            for (File file : files) file.delete();
            folder.delete();
        }
        log.close();
    }
}
