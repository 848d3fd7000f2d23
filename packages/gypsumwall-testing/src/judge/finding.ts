/** A promise that a recorded history breaks. */
import type * as historyEvent from '../history_event.js';

/** What must always hold, by a short name. */
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

/** One break, with the events that show it in their order. */
export interface Finding {
  readonly promise: PromiseName;
  readonly message: string;
  readonly evidence: readonly historyEvent.HistoryEvent[];
}

/** Events of one type. */
export type EventOf<Type extends historyEvent.EventBody['type']> = Extract<
  historyEvent.HistoryEvent,
  {type: Type}
>;

/** Picks the events of one type. */
export function eventsOf<Type extends historyEvent.EventBody['type']>(
  events: readonly historyEvent.HistoryEvent[],
  type: Type,
): Array<EventOf<Type>> {
  return events.filter((event): event is EventOf<Type> => event.type === type);
}

/** Items in groups by a key. */
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
