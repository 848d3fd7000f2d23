/**
 * A fake worker that answers over HTTP. It runs as a separate process, so that
 * the benchmark counts only the processor time of the caller. It reports as
 * many running tasks as the path names and counts the bytes on its sockets.
 */
import * as http from 'node:http';
import type * as net from 'node:net';

/** Message that the process sends to its parent once it listens. */
export interface FakeWorkerReady {
  readonly port: number;
}

const LEASE_MS = 15_000;

process.on('disconnect', () => process.exit(0));

const sockets = new Set<net.Socket>();
const server = http.createServer((req, res) => {
  const chunks: Buffer[] = [];
  req.on('data', (chunk: Buffer) => chunks.push(chunk));
  req.on('end', () => {
    const tasks = Number(/^\/tasks-(\d+)\//.exec(req.url ?? '')?.[1] ?? 0);
    const body = req.url?.endsWith('/start')
      ? buildStartResponse(Buffer.concat(chunks).toString('utf8'))
      : buildHeartbeatResponse(tasks);
    res.setHeader('content-type', 'application/json');
    res.end(JSON.stringify(body));
  });
});
server.on('connection', (socket) => {
  sockets.add(socket);
});
server.listen(0, '127.0.0.1', () => {
  const ready: FakeWorkerReady = {
    port: (server.address() as net.AddressInfo).port,
  };
  process.send?.(ready);
});
process.on('message', () => {
  let bytes = 0;
  for (const socket of sockets) bytes += socket.bytesRead + socket.bytesWritten;
  process.send?.(bytes);
});

function buildStartResponse(body: string): object {
  const {tasks} = JSON.parse(body) as {tasks: unknown[]};
  return {answers: tasks.map(() => ({type: 'started'}))};
}

function buildHeartbeatResponse(tasks: number): object {
  const now = performance.now();
  const named = Array.from({length: tasks}, (_, index) => ({
    taskId: `merkato-hall.0123456789abcdef/${index}`,
    attempt: `123456.${index}`,
  }));
  const size = {cpuMillis: 1_000, memoryMb: 2_048, accelerators: 0};
  return {
    now,
    running: named.map((task) => ({
      ...task,
      size,
      leaseUntil: now + LEASE_MS,
    })),
    finished: [],
    usage: named.map((task) => ({...task, used: size})),
  };
}
