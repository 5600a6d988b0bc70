package org.micabarrow.serving;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An endpoint that answers a path that ends with a number with as many bytes, all {@code x}, and any other one with its last part
 * once it is released. It counts the requests that it has read whole and those whose answers the entry has read whole or cut off.
 */
final class SizedEndpoint implements AutoCloseable {

    private static final int CHUNK_BYTES = 4 * 1024;

    final AtomicInteger received = new AtomicInteger();
    final AtomicInteger completed = new AtomicInteger();
    final AtomicInteger cancelled = new AtomicInteger();
    private final CountDownLatch released = new CountDownLatch(1);
    private final ServerSocket server;

    SizedEndpoint() throws IOException {
        server = new ServerSocket(0);
        Thread.ofPlatform().daemon().start(this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    void release() {
        released.countDown();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                Thread.ofPlatform().daemon().start(() -> serve(socket));
            } catch (IOException e) {
                // The test has ended.
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            answer(socket);
            completed.incrementAndGet();
        } catch (IOException e) {
            // The entry has cut the answer off.
            cancelled.incrementAndGet();
        } catch (InterruptedException e) {
            throw new AssertionError("interrupted", e);
        }
    }

    private void answer(Socket socket) throws IOException, InterruptedException {
        DataInputStream input = new DataInputStream(socket.getInputStream());
        String head = head(input);
        input.readNBytes(Integer.parseInt(header(head, "content-length")));
        received.incrementAndGet();
        String path = head.split(" ", 3)[1];
        String name = path.substring(path.lastIndexOf('/') + 1);
        boolean sized = name.chars().allMatch(Character::isDigit);
        if (!sized) {
            released.await();
        }
        long bytes = sized ? Long.parseLong(name) : name.length();
        OutputStream output = socket.getOutputStream();
        output.write(("HTTP/1.1 200 OK\r\nAttempt-Id: " + header(head, "attempt-id")
                        + "\r\nServer-Seal: s\r\nContent-Length: " + bytes + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII));
        for (long left = bytes; left > 0; left -= CHUNK_BYTES) {
            output.write("x".repeat((int) Math.min(left, CHUNK_BYTES)).getBytes(StandardCharsets.US_ASCII));
        }
        // Waits until the entry has closed the connection, after it has read everything.
        socket.shutdownOutput();
        input.read();
    }

    private static String head(DataInputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = input.read();
            if (next < 0) {
                throw new IOException("the connection ended in the head of a request");
            }
            head.append((char) next);
        }
        return head.toString();
    }

    private static String header(String head, String name) {
        return head.lines()
                .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(name + ":"))
                .map(line -> line.substring(name.length() + 1).trim())
                .findFirst()
                .orElseThrow();
    }

    @Override
    public void close() throws IOException {
        release();
        server.close();
    }
}
