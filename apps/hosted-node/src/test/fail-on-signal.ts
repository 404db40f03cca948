/** Loaded before the program: a signal makes more errors than a guard allows. */
const errors = 30;

process.on('SIGUSR2', () => {
  for (let i = 0; i < errors; i++) {
    setImmediate(() => {
      throw new Error('made by a test');
    });
  }
});
