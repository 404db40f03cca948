/** Keeps the event loop from turning for a time, in ms. */
export function blockEventLoop(ms: number): void {
  const until = performance.now() + ms;
  while (performance.now() < until);
}
