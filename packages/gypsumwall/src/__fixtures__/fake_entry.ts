/** Answers calls with what a test says, and remembers them. */
import * as http from 'node:http';
import type * as net from 'node:net';

/** A call as it came. */
export interface SeenCall {
  readonly method: string;
  readonly path: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
}

/** What to answer. */
export interface FakeAnswer {
  readonly status?: number;
  readonly headers?: Record<string, string>;
  /** JSON, or text as it is. */
  readonly body: unknown;
  /** Closes the connection after the body, before its declared end. */
  readonly breakOff?: boolean;
}

/** A server that stands for an entry. */
export interface FakeEntry {
  readonly url: string;
  readonly calls: SeenCall[];
  close(): void;
}

/** Listens on a port that the kernel gives. */
export async function createFakeEntry(
  answer: (call: SeenCall) => FakeAnswer,
): Promise<FakeEntry> {
  const calls: SeenCall[] = [];
  const server = http.createServer((req, res) => {
    req.setEncoding('utf8');
    let body = '';
    req.on('data', (piece: string) => (body += piece));
    req.on('end', () => {
      const {method = '', url: path = '', headers} = req;
      const call = {method, path, headers, body};
      calls.push(call);
      send(res, answer(call));
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as net.AddressInfo;
  return {
    url: `http://127.0.0.1:${port}`,
    calls,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

/** A refusal as an entry sends it. */
export function problem(
  status: number,
  reason: string,
  more: Record<string, unknown> = {},
): FakeAnswer {
  const outcome = 'not_run';
  return {
    status,
    headers: {'gypsumwall-outcome': outcome},
    body: {status, reason, outcome, detail: `because of ${reason}`, ...more},
  };
}

function send(res: http.ServerResponse, answer: FakeAnswer): void {
  const {status = 200, headers = {}, body, breakOff = false} = answer;
  const text = typeof body === 'string' ? body : JSON.stringify(body);
  const length = Buffer.byteLength(text) + (breakOff ? 1 : 0);
  res.writeHead(status, {...headers, 'content-length': String(length)});
  res.write(text, () => (breakOff ? res.destroy() : res.end()));
}
