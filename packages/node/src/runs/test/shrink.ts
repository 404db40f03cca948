/** Candidates that run concurrently; a run takes seconds and mostly waits. */
const parallel = 4;

/** Removes items while the remaining ones still fail, until the time limit. */
export async function shrink<T>(
  items: readonly T[],
  fails: (items: readonly T[]) => Promise<boolean>,
  limitMs: number,
): Promise<readonly T[]> {
  const endAt = performance.now() + limitMs;
  let best = items;
  let size = Math.ceil(items.length / 4);
  let at = 0;
  while (best.length > 1 && performance.now() < endAt) {
    const starts = Array.from({length: parallel}, (_, i) => at + i * size);
    const candidates = starts
      .filter(from => from < best.length)
      .map(from => [...best.slice(0, from), ...best.slice(from + size)]);
    const failed = await Promise.all(candidates.map(fails));
    const found = candidates.find((_, i) => failed[i]);
    at = found ? 0 : at + parallel * size;
    best = found ?? best;
    if (at < best.length) continue;
    if (size === 1) break;
    [at, size] = [0, Math.ceil(size / 2)];
  }
  return best;
}
