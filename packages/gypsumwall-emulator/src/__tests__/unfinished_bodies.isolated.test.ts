/** Crowds whose bodies are too long or don't end. */
import * as nodeTest from 'node:test';
import * as builtProgram from '../__fixtures__/built_program.js';
import * as crowdRun from '../__fixtures__/crowd_run.js';
import * as rawRequests from '../__fixtures__/raw_requests.js';

const {test} = nodeTest;
const builtInto = builtProgram.buildProgramForTests();
const CHUNKED = ['Transfer-Encoding: chunked'];
const LARGE_CHUNK_BYTES = 65_536;
const LARGE_CHUNK = rawRequests.encodeChunk(LARGE_CHUNK_BYTES);
/** The emulator's configuration allows bodies of 262,144 bytes. */
const LARGE_CHUNKS_WITHIN_LIMIT = 3;
const ENDLESS_CHUNKS = 256;

// Guards against a sum of unfinished bodies, each within the limit, that exceeds
// the memory.
test('many bodies in large chunks that stop short of their end', (t) =>
  crowdRun.checkSurvival(t, builtInto, {
    size: 350,
    *piecesOf(nth) {
      yield rawRequests.encodeHead(nth, CHUNKED);
      yield* rawRequests.repeat(LARGE_CHUNK, LARGE_CHUNKS_WITHIN_LIMIT);
      yield rawRequests.encodeChunk(LARGE_CHUNK_BYTES - 1);
    },
  }));

// Guards against objects for each chunk that are kept until the end of the body.
test('many bodies in chunks of one byte that stop short of their end', (t) =>
  crowdRun.checkSurvival(t, builtInto, {
    size: 40,
    *piecesOf(nth) {
      yield rawRequests.encodeHead(nth, CHUNKED);
      const chunks = rawRequests.encodeChunks(1, 5_000);
      yield* rawRequests.repeat(chunks, 40);
    },
  }));

// Guards against collecting bodies whose announced length is over the limit of
// the configuration.
test('many bodies that announce more than the limit', (t) =>
  crowdRun.checkSurvival(t, builtInto, {
    size: 150,
    *piecesOf(nth) {
      yield rawRequests.encodeHead(nth, ['Content-Length: 1000000']);
      yield* rawRequests.repeat(Buffer.alloc(9_000, 'a'), 111);
    },
  }));

// Guards against collecting bodies far beyond the limit of the configuration
// because no length was announced.
test('many chunked bodies without an end', (t) =>
  crowdRun.checkSurvival(t, builtInto, {
    size: 350,
    *piecesOf(nth) {
      yield rawRequests.encodeHead(nth, CHUNKED);
      yield* rawRequests.repeat(LARGE_CHUNK, ENDLESS_CHUNKS);
    },
  }));

// Guards against reading on after the refusal of a body that is announced far
// over every limit.
test('many bodies that announce gigabytes and keep coming', (t) =>
  crowdRun.checkSurvival(t, builtInto, {
    size: 150,
    *piecesOf(nth) {
      yield rawRequests.encodeHead(nth, ['Content-Length: 4000000000']);
      yield* rawRequests.repeat(
        Buffer.alloc(LARGE_CHUNK_BYTES, 'a'),
        ENDLESS_CHUNKS,
      );
    },
  }));
