package review2;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A node of the project, started with the run line of the deploy file. */
final class NodeProc {
    private static final Path ROOT = Path.of(System.getProperty("review.root")).toAbsolutePath();

    private final String mName;
    private final String mIp;
    private final Rec mRec;
    private final int mEntryPort;
    private final int mReadyPort;
    private final int mControlPort;
    private final Path mSettings;
    private Process mProcess;

    NodeProc(
            String name,
            String ip,
            String zone,
            String service,
            String bounds,
            String store,
            Path folder,
            Rec rec)
            throws IOException {
        mName = name;
        mIp = ip;
        mRec = rec;
        int[] ports = freePorts(ip, 5);
        mEntryPort = ports[0];
        mReadyPort = ports[1];
        mControlPort = ports[2];
        mSettings = folder.resolve(name + ".json");
        Files.writeString(
                mSettings,
                "{\"nodeId\":\"" + name + "\",\"dataCentre\":\"" + zone + "\",\"region\":\"uttar\","
                        + "\"service\":\"" + service + "\",\"entry\":\"" + ip + ":" + ports[0]
                        + "\",\"readiness\":\"" + ip + ":" + ports[1] + "\",\"heartbeats\":\"" + ip
                        + ":" + ports[2] + "\",\"metrics\":\"" + ip + ":" + ports[3]
                        + "\",\"linkPorts\":[" + ports[4] + "," + (ports[4] + 15)
                        + "],\"heartbeat\":\"1500ms\",\"bounds\":" + bounds
                        + ",\"descriptors\":4100,\"store\":{\"address\":\"" + store + "\"}}");
    }

    private static int[] freePorts(String ip, int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        int[] ports = new int[count];
        for (int i = 0; i < count; i++) {
            sockets.add(new ServerSocket(0, 1, InetAddress.getByName(ip)));
            ports[i] = sockets.get(i).getLocalPort();
        }
        for (ServerSocket s : sockets) {
            s.close();
        }
        return ports;
    }

    InetSocketAddress entry() {
        return new InetSocketAddress(mIp, mEntryPort);
    }

    InetSocketAddress control() {
        return new InetSocketAddress(mIp, mControlPort);
    }

    String name() {
        return mName;
    }

    void start() throws IOException {
        Matcher run =
                Pattern.compile("(?m)^run = \"(.*)\"$")
                        .matcher(Files.readString(ROOT.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("the deploy file has no run line");
        }
        ProcessBuilder b = new ProcessBuilder(run.group(1).split(" "));
        b.directory(ROOT.toFile());
        b.environment().put("AZURESTAGE_SETTINGS", mSettings.toString());
        b.redirectErrorStream(true);
        b.redirectOutput(new File(mSettings + ".log"));
        mProcess = b.start();
        mRec.line(mName + ": started");
        mProcess.onExit().thenAccept(p -> mRec.line(mName + ": ended with " + p.exitValue()));
    }

    long pid() {
        return mProcess.pid();
    }

    boolean isRunning() {
        return mProcess.isAlive();
    }

    void signal(String name) throws IOException, InterruptedException {
        mRec.line(mName + ": SIG" + name);
        new ProcessBuilder("kill", "-" + name, Long.toString(pid())).start().waitFor();
    }

    /** Kills the process if it runs; for the end of a case, and when the grace is over. */
    void kill() {
        if (mProcess != null) {
            mProcess.destroyForcibly();
        }
    }

    boolean isReady() {
        try (Socket s = new Socket()) {
            s.setSoTimeout(1_000);
            s.connect(new InetSocketAddress(mIp, mReadyPort), 1_000);
            s.getOutputStream()
                    .write(
                            Http.format(
                                    "GET /-/ready HTTP/1.1", new byte[0], "Host", "ready"));
            Http.Message m = Http.read(s.getInputStream());
            return m != null && m.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    void awaitReady(long millis) {
        long end = System.nanoTime() + millis * 1_000_000;
        while (!isReady()) {
            if (System.nanoTime() > end) {
                throw new IllegalStateException(mName + " is not ready");
            }
            Threads.sleep(100);
        }
        mRec.line(mName + ": ready");
    }
}
