/** Kept at its old path for callers outside this package. */
export * from '../fakes/crash-model.js';
