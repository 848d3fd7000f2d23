/** Crowds that hold connections. */
import * as nodeTest from 'node:test';
import * as builtProgram from '../__fixtures__/built_program.js';
import * as crowdRun from '../__fixtures__/crowd_run.js';
import * as rawRequests from '../__fixtures__/raw_requests.js';

const {test} = nodeTest;
const builtInto = builtProgram.buildProgramForTests();
/** More than the descriptors of the machine. */
const CONNECTIONS = 700;

// Guards against a listener that takes the descriptors that the calls to the
// store, to workers and to peers need.
test('many connections that send nothing', (t) =>
  crowdRun.checkSurvival(t, builtInto, {
    size: CONNECTIONS,
    piecesOf: () => [],
  }));

// Guards against the same by requests whose headers don't end.
test('many requests whose headers do not end', (t) =>
  crowdRun.checkSurvival(t, builtInto, {
    size: CONNECTIONS,
    *piecesOf() {
      yield rawRequests.encodeGet([]).subarray(0, -2);
      yield* rawRequests.repeat(Buffer.from('X-Field: value\r\n'), 300);
    },
  }));

// Guards against the same by bodies that are only begun.
test('many requests whose bodies are only begun', (t) =>
  crowdRun.checkSurvival(t, builtInto, {
    size: CONNECTIONS,
    *piecesOf(nth) {
      yield rawRequests.encodeHead(nth, ['Content-Length: 200']);
      yield Buffer.from('{"spec":"');
    },
  }));
