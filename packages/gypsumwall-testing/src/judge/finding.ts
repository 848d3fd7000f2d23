/** Violations of the product's guarantees in a recorded history. */
import type * as historyEvent from '../history_event.js';

/** Short names of the guarantees that the judge checks. */
export type PromiseName =
  | 'capacity'
  | 'one_place'
  | 'done_once'
  | 'whole_answer'
  | 'not_run_is_true'
  | 'at_most_once'
  | 'leaving_upstream'
  | 'planned_stop'
  | 'configuration'
  | 'nothing_lost';

/** One violated guarantee and the events that prove it, in order of time. */
export interface Finding {
  readonly promise: PromiseName;
  readonly message: string;
  readonly evidence: readonly historyEvent.HistoryEvent[];
}

/** The member of the event union with the given type. */
export type EventOf<Type extends historyEvent.EventBody['type']> = Extract<
  historyEvent.HistoryEvent,
  {type: Type}
>;

/** Returns the events of one type, in their order. */
export function eventsOf<Type extends historyEvent.EventBody['type']>(
  events: readonly historyEvent.HistoryEvent[],
  type: Type,
): Array<EventOf<Type>> {
  return events.filter((event): event is EventOf<Type> => event.type === type);
}

/** Groups items by a key. */
export function groupBy<Item>(
  items: readonly Item[],
  keyOf: (item: Item) => string,
): Map<string, Item[]> {
  const groups = new Map<string, Item[]>();
  for (const item of items) {
    const key = keyOf(item);
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [item]);
    else group.push(item);
  }
  return groups;
}
