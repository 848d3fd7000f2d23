/** Crowds that send requests ahead and don't read the answers. */
import * as nodeTest from 'node:test';
import * as builtProgram from '../__fixtures__/built_program.js';
import * as crowdRun from '../__fixtures__/crowd_run.js';
import * as rawRequests from '../__fixtures__/raw_requests.js';

const {test} = nodeTest;
const builtInto = builtProgram.buildProgramForTests();
const REQUESTS_PER_PIECE = 500;

/** Pieces of many requests that are all the same. */
function repeatRequest(request: Buffer, pieces: number): Iterable<Buffer> {
  const piece = Buffer.concat(
    Array.from({length: REQUESTS_PER_PIECE}, () => request),
  );
  return rawRequests.repeat(piece, pieces);
}

// Guards against beginning every request that one read of a connection holds.
test('many requests sent ahead whose answers are not read', (t) =>
  crowdRun.checkSurvival(t, builtInto, {
    size: 100,
    piecesOf: () =>
      repeatRequest(
        rawRequests.encodeGet([`Host: ${crowdRun.QUEUE.host}`]),
        20,
      ),
  }));

// Guards against requests that are answered before they are counted, because
// they lack a header.
test('many requests without a host sent ahead whose answers are not read', (t) =>
  crowdRun.checkSurvival(t, builtInto, {
    size: 200,
    piecesOf: () => repeatRequest(rawRequests.encodeGet([]), 40),
  }));

// Guards against requests that are answered before they are counted, because
// they expect what no server offers.
test('many requests with unknown expectations sent ahead', (t) =>
  crowdRun.checkSurvival(t, builtInto, {
    size: 200,
    piecesOf: () =>
      repeatRequest(
        rawRequests.encodeGet([
          `Host: ${crowdRun.QUEUE.host}`,
          'Expect: an-answer',
        ]),
        20,
      ),
  }));

// Guards against submissions that wait for the store while more arrive on the
// same connections.
test('many submissions sent ahead whose answers are not read', (t) =>
  crowdRun.checkSurvival(t, builtInto, {
    size: 200,
    *piecesOf(client) {
      for (let nth = 0; nth < 200; nth++) {
        yield rawRequests.encodeSubmission(client * 1_000 + nth, 3_000);
      }
    },
  }));
