/**
 * Measures what an entry spends on control while it holds a domain: heartbeats
 * and starts over HTTP, appending records to the log, writing snapshots and
 * rebuilding state from them.
 */
import type * as benchModule from './bench_module.js';
import * as controlCalls from './control_calls.js';
import * as controlRecords from './control_records.js';

export const CONTROL_BENCH: benchModule.BenchModule = {
  name: 'control',
  run: async ({quick}) => {
    const calls = await controlCalls.measureCalls(quick);
    const stored = await controlRecords.measureRecords(quick);
    return {
      notes: [
        'Processor time is of the calling process alone: the fake worker ' +
          'answers in a process of its own.',
        'Bytes are all bytes on the sockets, HTTP heads included.',
      ],
      tables: [...calls, ...stored],
      plots: [],
    };
  },
};
