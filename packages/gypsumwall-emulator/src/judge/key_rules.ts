/** Rules on the keys of callers. */
import type * as history from '../model/history.js';
import * as configTimes from './config_times.js';
import type * as finding from './finding.js';

/**
 * Finds calls that were served with a key, or refused for it, although every
 * configuration that may be in force until the answer says otherwise. Keys are left out of the
 * findings.
 */
export function findMisjudgedKeys(
  events: readonly history.HistoryEvent[],
): finding.Finding[] {
  const configs = configTimes.listConfigs(events);
  return events.flatMap((event) => {
    if (event.type !== 'key_used') return [];
    const {key, sentAt, isAccepted, at} = event;
    const known = configTimes
      .configsBetween(configs, sentAt, Math.max(sentAt, at))
      .map(({organisations}) =>
        organisations.some(({keys}) => keys.includes(key)),
      );
    if (known.length === 0 || known.includes(isAccepted)) return [];
    const what = isAccepted
      ? 'was served with an unknown key'
      : 'was refused with a valid key';
    const detail = `a call sent at ${Math.round(sentAt)} ms ${what}`;
    return [{promise: 'keys count as configured', detail}];
  });
}
