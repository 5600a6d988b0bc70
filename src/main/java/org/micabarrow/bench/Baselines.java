package org.micabarrow.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.micabarrow.transport.LinkPacer;

/**
 * Two plain ways to bring weights to N instances, over the same paced links but in memory, with no cost of their own:
 * every instance from the origin, and a binary tree whose instances pass on only whole copies.
 */
final class Baselines {

    private final long bytes;
    private final int chunkBytes;
    private final long instanceRate;
    private final LinkPacer origin;

    Baselines(long bytes, int chunkBytes, long originRate, long instanceRate) {
        this.bytes = bytes;
        this.chunkBytes = chunkBytes;
        this.instanceRate = instanceRate;
        this.origin = new LinkPacer(originRate, () -> 1);
    }

    private LinkPacer link() {
        return new LinkPacer(instanceRate, () -> 1);
    }

    private void copy(LinkPacer from, LinkPacer to) {
        for (long done = 0; done < bytes; done += chunkBytes) {
            from.acquire(chunkBytes);
            to.acquire(chunkBytes);
        }
    }

    private double bound() {
        return (double) bytes / instanceRate;
    }

    RolloutRow fromOrigin(int replicas) {
        long start = System.nanoTime();
        List<CompletableFuture<Void>> copies = new ArrayList<>();
        for (int i = 0; i < replicas; i++) {
            copies.add(onThread(() -> copy(origin, link())));
        }
        copies.forEach(CompletableFuture::join);
        return row("baseline: each from the origin", replicas, start, replicas);
    }

    RolloutRow storeAndForward(int replicas) {
        long start = System.nanoTime();
        List<CountDownLatch> whole = new ArrayList<>();
        List<LinkPacer> out = new ArrayList<>();
        for (int i = 0; i < replicas; i++) {
            whole.add(new CountDownLatch(1));
            out.add(link());
        }
        List<CompletableFuture<Void>> copies = new ArrayList<>();
        for (int i = 0; i < replicas; i++) {
            int me = i;
            copies.add(onThread(() -> receiveWhole(me, whole, out)));
        }
        copies.forEach(CompletableFuture::join);
        return row("baseline: store and forward", replicas, start, 1);
    }

    private void receiveWhole(int me, List<CountDownLatch> whole, List<LinkPacer> out) {
        try {
            if (me == 0) {
                copy(origin, link());
            } else {
                int parent = (me - 1) / 2;
                whole.get(parent).await();
                copy(out.get(parent), link());
            }
            whole.get(me).countDown();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static CompletableFuture<Void> onThread(Runnable work) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        Thread.ofPlatform().daemon().start(() -> {
            work.run();
            done.complete(null);
        });
        return done;
    }

    private RolloutRow row(String name, int replicas, long start, double copies) {
        return new RolloutRow(name, replicas, "-", (System.nanoTime() - start) / 1e9, bound(), copies);
    }
}
