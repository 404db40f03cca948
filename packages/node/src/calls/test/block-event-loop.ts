/** Blocks the event loop for `ms` milliseconds. */
export function blockEventLoop(ms: number): void {
  const end = performance.now() + ms;
  while (performance.now() < end);
}
