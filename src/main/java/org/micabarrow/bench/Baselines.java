package org.micabarrow.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.micabarrow.transport.LinkPacer;

/**
 * Simulates two simple ways to distribute weights to N instances over links of the same bandwidth, in memory and
 * without processing costs: each instance fetches from the origin, or a binary tree forwards only complete copies.
 */
final class Baselines {

    private final long bytes;
    private final int chunkBytes;
    private final long instanceBytesPerSecond;
    private final LinkPacer origin;

    Baselines(long bytes, int chunkBytes, long originRate, long instanceRate) {
        this.bytes = bytes;
        this.chunkBytes = chunkBytes;
        this.instanceBytesPerSecond = instanceRate;
        this.origin = new LinkPacer(originRate, () -> 1);
    }

    private LinkPacer link() {
        return new LinkPacer(instanceBytesPerSecond, () -> 1);
    }

    private void copy(LinkPacer from, LinkPacer to) {
        for (long copiedBytes = 0; copiedBytes < bytes; copiedBytes += chunkBytes) {
            from.acquire(chunkBytes);
            to.acquire(chunkBytes);
        }
    }

    private double lowerBoundSeconds() {
        return (double) bytes / instanceBytesPerSecond;
    }

    RolloutRow fromOrigin(int replicas) {
        long start = System.nanoTime();
        List<CompletableFuture<Void>> copies = new ArrayList<>();
        for (int i = 0; i < replicas; i++) {
            copies.add(runOnThread(() -> copy(origin, link())));
        }
        copies.forEach(CompletableFuture::join);
        return row("baseline: each from the origin", replicas, start, replicas);
    }

    RolloutRow storeAndForward(int replicas) {
        long start = System.nanoTime();
        List<CountDownLatch> completed = new ArrayList<>();
        List<LinkPacer> uplinks = new ArrayList<>();
        for (int i = 0; i < replicas; i++) {
            completed.add(new CountDownLatch(1));
            uplinks.add(link());
        }
        List<CompletableFuture<Void>> copies = new ArrayList<>();
        for (int i = 0; i < replicas; i++) {
            int index = i;
            copies.add(runOnThread(() -> receiveFromParent(index, completed, uplinks)));
        }
        copies.forEach(CompletableFuture::join);
        return row("baseline: store and forward", replicas, start, 1);
    }

    private void receiveFromParent(int index, List<CountDownLatch> completed, List<LinkPacer> uplinks) {
        try {
            if (index == 0) {
                copy(origin, link());
            } else {
                int parent = (index - 1) / 2;
                completed.get(parent).await();
                copy(uplinks.get(parent), link());
            }
            completed.get(index).countDown();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static CompletableFuture<Void> runOnThread(Runnable work) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        Thread.ofPlatform().daemon().start(() -> {
            work.run();
            done.complete(null);
        });
        return done;
    }

    private RolloutRow row(String name, int replicas, long start, double copies) {
        return new RolloutRow(name, replicas, "-", (System.nanoTime() - start) / 1e9, lowerBoundSeconds(), copies);
    }
}
