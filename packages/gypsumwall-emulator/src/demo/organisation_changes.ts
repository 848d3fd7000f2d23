/** Changes of organisations that the demo publishes. */
import type * as emulatedCell from '../rig/emulated_cell.js';

type Print = (line: string) => void;

/** Takes the first key away from the first organisation; it has another one. */
export function revokeFirstKey(
  cell: emulatedCell.EmulatedCell,
  print: Print,
): void {
  const [first, ...others] = cell.model.organisations();
  if (first === undefined || first.keys.length < 2) return;
  cell.model.publish([{...first, keys: first.keys.slice(1)}, ...others]);
  print(`a key of ${first.name} is taken away; its callers use another one.`);
}

/** Halves the quota of each organisation that has one. */
export function halveQuotas(
  cell: emulatedCell.EmulatedCell,
  print: Print,
): void {
  const before = cell.model.organisations();
  const limited = before.filter(({quota}) => quota.cpuMillis > 0);
  if (limited.length === 0) return;
  cell.model.publish(
    before.map((one) => ({
      ...one,
      quota: {...one.quota, cpuMillis: one.quota.cpuMillis / 2},
    })),
  );
  const names = limited.map(({name}) => name).join(', ');
  print(`the quota of ${names} is halved.`);
}
