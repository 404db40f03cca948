/** Text of a figure that no run has produced. @public */
export const NOT_MEASURED = 'not measured';

/** A figure with its unit, or that it was not measured. @public */
export function cell(value: number | null, unit: string): string {
  if (value === null) return NOT_MEASURED;
  if (!Number.isFinite(value)) return 'no limit found';
  const size = Math.abs(value);
  const digits = size >= 100 ? 0 : size >= 10 ? 1 : size >= 0.01 ? 2 : 4;
  const text = value.toLocaleString('en-US', {
    minimumFractionDigits: 0,
    maximumFractionDigits: digits,
  });
  return unit === '' ? text : `${text} ${unit}`;
}

/** How a figure stands to its target. @public */
export function verdict(value: number | null, target: number): string {
  if (value === null) return NOT_MEASURED;
  return value <= target ? 'within' : '**over the target**';
}
