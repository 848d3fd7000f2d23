import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as answerParsers from '../answer_parser.js';

const {test} = nodeTest;

function parseParts(parts: readonly Buffer[]) {
  const parser = answerParsers.createAnswerParser();
  for (const [nth, part] of parts.entries()) {
    const answer = parser.push(part);
    if (answer === undefined) continue;
    assert.equal(nth, parts.length - 1, 'bytes after the answer');
    return answer;
  }
  return parser.end();
}

const parse = (text: string) => parseParts([Buffer.from(text, 'latin1')]);

const BODY = '{"ends":[1,2,3],"text":"a\r\n\r\nb"}';
const HEX = BODY.length.toString(16);
const HEAD = 'HTTP/1.1 200 OK\r\nDate: today\r\n';
const SIZED = `${HEAD}Content-Length: ${BODY.length}\r\n\r\n${BODY}`;
const CHUNKED =
  `${HEAD}Transfer-Encoding: chunked\r\n\r\n` +
  `5\r\n${BODY.slice(0, 5)}\r\n` +
  `${(BODY.length - 5).toString(16).toUpperCase()};x=1\r\n${BODY.slice(5)}\r\n` +
  `0\r\n`;

const ANSWERS: ReadonlyArray<readonly [string, boolean]> = [
  [SIZED, true],
  [`HTTP/1.1 100 Continue\r\n\r\n${SIZED}`, true],
  [`${CHUNKED}\r\n`, true],
  [`${CHUNKED}Trailer: value\r\n\r\n`, true],
  [`${HEAD}Connection: close\r\nContent-Length: 2\r\n\r\n{}`, false],
  [`HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\n{}`, false],
  [`${HEAD}\r\n${BODY}`, false],
];

// Guards against answers that are garbled because the network divides them in
// other places than usual.
test('an answer is the same however its bytes arrive', () => {
  const random = types.random.createRandom(1);
  for (const [text, isReusable] of ANSWERS) {
    const expected = parse(text);
    assert.equal(expected?.isReusable, isReusable, text);
    assert.equal(expected.status, 200);
    assert.ok([BODY, '{}'].includes(expected.body.toString()), text);
    for (let round = 0; round < 200; round++) {
      const bytes = Buffer.from(text, 'latin1');
      const parts: Buffer[] = [];
      for (let from = 0; from < bytes.length;) {
        const to = from + random.integer(1, round < 20 ? 1 : 60);
        parts.push(bytes.subarray(from, to));
        from = to;
      }
      assert.deepEqual(parseParts(parts), expected, text);
    }
  }
});

// Guards against a body that changes when the next read uses the same memory.
test('an answer keeps none of the bytes that it was parsed from', () => {
  const parser = answerParsers.createAnswerParser();
  const memory = Buffer.alloc(SIZED.length);
  const cut = SIZED.length - 4;
  memory.write(SIZED.slice(0, cut), 'latin1');
  assert.equal(parser.push(memory.subarray(0, cut)), undefined);
  memory.write(SIZED.slice(cut), 'latin1');
  const answer = parser.push(memory.subarray(0, SIZED.length - cut));
  memory.fill(0);
  assert.equal(answer?.body.toString(), BODY);
  assert.equal(parser.push(Buffer.from(SIZED))?.body.toString(), BODY);
});

test('an answer without a body has none', () => {
  const noContent = parse('HTTP/1.1 204 No Content\r\n\r\n');
  assert.deepEqual([noContent?.status, noContent?.body.length], [204, 0]);
  assert.equal(parse(`${HEAD}content-length: 0\r\n\r\n`)?.body.length, 0);
});

// Guards against calls on a connection that its server is about to close.
test('a connection is used for less than its server keeps it open', () => {
  const text = `${HEAD}Keep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n`;
  assert.equal(parse(text)?.reusableForMs, 4_000);
  assert.equal(parse(SIZED)?.reusableForMs, undefined);
});

// Guards against the answer to one call that is taken for that to the next.
test('a connection with bytes after the answer is not used again', () => {
  assert.equal(parse(`${SIZED}HTTP`)?.isReusable, false);
  assert.equal(parse(`${CHUNKED}\r\nHTTP`)?.isReusable, false);
});

// Guards against a part of an answer that is taken for the whole.
test('an answer that is cut off or malformed is none', () => {
  assert.equal(parse(SIZED.slice(0, -1)), undefined);
  assert.equal(parse(CHUNKED), undefined);
  for (const text of [
    'SSH-2.0-server\r\n\r\n',
    'x'.repeat(20_000),
    `${HEAD}${'Name: value\r\n'.repeat(2_000)}`,
    `${HEAD}Content-Length: 2, 3\r\n\r\n{}`,
    `${HEAD}Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}`,
    `${HEAD}Transfer-Encoding: chunked\r\n\r\nzz\r\n`,
    `${HEAD}Transfer-Encoding: chunked\r\n\r\n${HEX}\r\n${BODY}xx\r\n`,
  ])
    assert.throws(() => parse(text), text);
});
