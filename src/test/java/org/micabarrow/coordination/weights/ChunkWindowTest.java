package org.micabarrow.coordination.weights;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;

class ChunkWindowTest {

    private static final Duration LONG = Duration.ofSeconds(30);

    private static byte[] chunk(int i) {
        return new byte[] {(byte) i};
    }

    private static byte[] read(ChunkWindow window, String reader, int index) throws InterruptedException {
        return window.read(reader, index, LONG).toOptional().orElseThrow().orElseThrow();
    }

    @Test
    void shouldGiveEveryChunkInOrderToSlowReaderWhileItMakesProgress() throws Exception {
        ChunkWindow window = new ChunkWindow(3, 50, LONG);
        window.expect("slow");
        CompletableFuture<List<Integer>> seen = CompletableFuture.supplyAsync(() -> readAll(window, 50));
        for (int i = 0; i < 50; i++) {
            window.add(chunk(i));
        }
        assertEquals(50, seen.join().size());
        assertEquals(0, seen.join().getFirst());
        assertEquals(49, seen.join().getLast());
    }

    private static List<Integer> readAll(ChunkWindow window, int count) {
        List<Integer> seen = new ArrayList<>();
        try {
            for (int i = 0; i < count; i++) {
                seen.add((int) read(window, "slow", i)[0]);
            }
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
        return seen;
    }

    @Test
    void shouldGoOnWithoutReaderThatMakesNoProgress() throws InterruptedException {
        ChunkWindow window = new ChunkWindow(2, 10, Duration.ofMillis(5));
        window.expect("dead");
        for (int i = 0; i < 10; i++) {
            window.add(chunk(i));
        }
        assertEquals(8, window.oldest());
    }

    @Test
    void shouldTellReaderThatItsChunkHasLeft() throws InterruptedException {
        ChunkWindow window = new ChunkWindow(2, 10, Duration.ofMillis(5));
        for (int i = 0; i < 5; i++) {
            window.add(chunk(i));
        }
        Result<Optional<byte[]>> result = window.read("late", 0, LONG);
        assertEquals(Fault.Reason.GONE, result.cause().orElseThrow().reason());
        assertArrayEquals(chunk(3), read(window, "late", 3));
    }

    @Test
    void shouldKeepChunkForNewStreamWhenOldStreamOfSameReceiverEnds() throws InterruptedException {
        ChunkWindow window = new ChunkWindow(2, 10, Duration.ofMillis(50));
        window.expect("child");
        window.add(chunk(0));
        window.arrived("child");
        read(window, "child#1", 0);
        read(window, "child#2", 0);
        window.leave("child#1");
        window.add(chunk(1));
        CompletableFuture<Void> adding = CompletableFuture.runAsync(() -> {
            try {
                window.add(chunk(2));
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        assertArrayEquals(chunk(0), read(window, "child#2", 0));
        assertArrayEquals(chunk(1), read(window, "child#2", 1));
        adding.join();
    }

    @Test
    void shouldEndReadersWhenClosed() throws InterruptedException {
        ChunkWindow window = new ChunkWindow(2, 10, LONG);
        window.close();
        assertTrue(window.read("r", 0, LONG).cause().isPresent());
    }
}
