/** Kept at its old path for callers; see `fakes/measure.ts`. */
import '../fakes/measure.js';
