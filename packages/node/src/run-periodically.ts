/**
 * Calls a function at a fixed interval until the signal aborts. The timer does
 * not keep the process alive.
 *
 * @param intervalMs - Time between two calls, in milliseconds.
 * @internal
 */
export function runPeriodically(
  intervalMs: number,
  signal: AbortSignal,
  run: () => void,
): void {
  if (signal.aborted) return;
  const timer = setInterval(run, intervalMs);
  timer.unref();
  signal.addEventListener('abort', () => clearInterval(timer), {once: true});
}
