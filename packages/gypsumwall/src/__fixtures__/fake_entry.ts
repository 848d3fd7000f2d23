/** An HTTP server that answers as the test defines and records the calls. */
import * as http from 'node:http';
import type * as net from 'node:net';

/** A received call. */
export interface ReceivedCall {
  readonly method: string;
  readonly path: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
}

/** An answer that the test defines. */
export interface FakeAnswer {
  readonly status?: number;
  readonly headers?: Record<string, string>;
  /** A string is sent unchanged, any other value as JSON. */
  readonly body: unknown;
  /** Closes the connection after the body, before its declared end. */
  readonly endsEarly?: boolean;
}

/** A server in place of an entry. */
export interface FakeEntry {
  readonly url: string;
  readonly calls: ReceivedCall[];
  close(): void;
}

/** Starts the server on a port that the kernel chooses. */
export async function createFakeEntry(
  answer: (call: ReceivedCall) => FakeAnswer,
): Promise<FakeEntry> {
  const calls: ReceivedCall[] = [];
  const server = http.createServer((req, res) => {
    req.setEncoding('utf8');
    let body = '';
    req.on('data', (chunk: string) => (body += chunk));
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

/** Creates a refusal in the form that an entry sends. */
export function createProblem(
  status: number,
  reason: string,
  extraFields: Record<string, unknown> = {},
): FakeAnswer {
  const outcome = 'not_run';
  return {
    status,
    headers: {'gypsumwall-outcome': outcome},
    body: {
      status,
      reason,
      outcome,
      detail: `because of ${reason}`,
      ...extraFields,
    },
  };
}

function send(res: http.ServerResponse, answer: FakeAnswer): void {
  const {status = 200, headers = {}, body, endsEarly = false} = answer;
  const text = typeof body === 'string' ? body : JSON.stringify(body);
  const length = Buffer.byteLength(text) + (endsEarly ? 1 : 0);
  res.writeHead(status, {...headers, 'content-length': String(length)});
  res.write(text, () => (endsEarly ? res.destroy() : res.end()));
}
