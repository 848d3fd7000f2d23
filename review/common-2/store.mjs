/**
 * Stand-in for the platform's store, after PROTOCOL.md: keyed logs with one
 * partition each, one append at a time, fenced and conditional appends.
 */
import * as http from 'node:http';

const RECORD_BYTES = 262_144;
const REQUEST_BYTES = 2_097_152;
const APPEND_MS = 4;
const KEEP_MS = 20_000;
const MAX_QUEUE_MS = 2_000;
const PAGE_RECORDS = 500;
const PAGE_BYTES = 1_000_000;
const WRITES_PER_S = 600;
const READS_PER_S = 2_000;
/** The system may not write to these. */
const READ_ONLY = new Set(['keyed.op', 'keyed.servers']);

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

function createLog() {
  return {
    records: [],
    first: 0,
    newest: new Map(),
    producers: new Map(),
    waiters: new Set(),
    busyUntil: 0,
  };
}

function createRate(perSecond) {
  let tokens = perSecond;
  let at = performance.now();
  return () => {
    const now = performance.now();
    tokens = Math.min(perSecond, tokens + ((now - at) * perSecond) / 1_000);
    at = now;
    if (tokens < 1) return false;
    tokens--;
    return true;
  };
}

/** Starts the store; `note` gets one line for each event worth a record. */
export async function startStore({host, note = () => {}}) {
  const logs = new Map();
  const takeWrite = createRate(WRITES_PER_S);
  const takeRead = createRate(READS_PER_S);
  const counts = {appends: 0, refusedForSize: 0};

  function logOf(topic) {
    if (!logs.has(topic)) logs.set(topic, createLog());
    return logs.get(topic);
  }

  const endOf = (log) => log.first + log.records.length;

  function expire(log) {
    const before = performance.now() - KEEP_MS;
    let count = 0;
    while (count < log.records.length && log.records[count].at < before)
      count++;
    if (count === 0) return;
    log.records = log.records.slice(count);
    log.first += count;
  }

  function put(log, entries) {
    const offset = endOf(log);
    for (const {key, value} of entries) {
      const record = {key, value, at: performance.now(), offset: endOf(log)};
      log.records.push(record);
      if (value.length === 0) log.newest.delete(key);
      else log.newest.set(key, record);
    }
    for (const wake of log.waiters) wake();
    log.waiters.clear();
    return {offset, endOffset: endOf(log)};
  }

  function decode(body) {
    const entries = [];
    let at = 0;
    while (at + 4 <= body.length) {
      const length = body.readUInt32BE(at);
      const content = body.subarray(at + 4, at + 4 + length);
      const keyLength = content[0];
      entries.push({
        length,
        key: content.toString('utf8', 1, 1 + keyLength),
        value: Buffer.from(content.subarray(1 + keyLength)),
      });
      at += 4 + length;
    }
    return entries;
  }

  async function append(query, body) {
    const topic = query.get('topic');
    if (READ_ONLY.has(topic)) return {status: 403, body: {}};
    if (!takeWrite()) return {status: 429, body: {}};
    const log = logOf(topic);
    const entries = decode(body);
    const largest = Math.max(0, ...entries.map(({length}) => length));
    if (largest > RECORD_BYTES || body.length > REQUEST_BYTES) {
      counts.refusedForSize++;
      const bytes = largest > RECORD_BYTES ? largest : body.length;
      const {key} = entries.find(({length}) => length === largest);
      note(`store refuses an append: ${bytes} bytes, largest record ${key}`);
      return {status: 413, body: {message: `${bytes} bytes are too many`}};
    }
    const now = performance.now();
    const start = Math.max(now, log.busyUntil);
    if (start - now > MAX_QUEUE_MS) return {status: 503, body: {}};
    log.busyUntil = start + APPEND_MS + body.length / 20_000;
    await sleep(log.busyUntil - now);
    counts.appends++;
    const producerName = query.get('producer');
    const epoch = Number(query.get('epoch') ?? 0);
    const seq = Number(query.get('seq') ?? 0);
    const producer = log.producers.get(producerName);
    if (producerName !== null && producer !== undefined) {
      if (epoch < producer.epoch)
        return {status: 409, body: {reason: 'fenced'}};
      if (epoch === producer.epoch) {
        const repeated = producer.recent.find((one) => one.seq === seq);
        if (repeated !== undefined) return repeated.answer;
        if (seq !== producer.next) {
          const expected = producer.next;
          return {status: 409, body: {reason: 'seq', expected}};
        }
      }
    }
    const at = query.get('at');
    if (at !== null && Number(at) !== endOf(log))
      return {status: 412, body: {endOffset: endOf(log)}};
    const answer = {status: 200, body: put(log, entries)};
    if (producerName !== null) {
      const recent = producer?.epoch === epoch ? producer.recent : [];
      log.producers.set(producerName, {
        epoch,
        next: seq + 1,
        recent: [...recent, {seq, answer}].slice(-5),
      });
    }
    return answer;
  }

  function encode({key, value}) {
    const keyBytes = Buffer.from(key);
    const head = Buffer.alloc(5);
    head.writeUInt32BE(1 + keyBytes.length + value.length);
    head.writeUInt8(keyBytes.length, 4);
    return Buffer.concat([head, keyBytes, value]);
  }

  async function read(query, res) {
    if (!takeRead()) return send(res, {status: 429, body: {}});
    const log = logOf(query.get('topic'));
    const from = Number(query.get('from'));
    const waitMs = Number(query.get('waitMs') ?? 0);
    const maxBytes = Number(query.get('maxKb') ?? 1_024) * 1_024;
    if (endOf(log) <= from && waitMs > 0) {
      await new Promise((resolve) => {
        const timer = setTimeout(done, waitMs);
        function done() {
          clearTimeout(timer);
          log.waiters.delete(done);
          resolve();
        }
        log.waiters.add(done);
      });
    }
    await sleep(1);
    expire(log);
    if (from < log.first)
      return send(res, {status: 410, body: {startOffset: log.first}});
    const header = Buffer.alloc(16);
    header.writeBigUInt64BE(BigInt(endOf(log)), 0);
    header.writeBigUInt64BE(BigInt(log.first), 8);
    const parts = [header];
    let bytes = 0;
    for (let nth = from - log.first; nth < log.records.length; nth++) {
      const part = encode(log.records[nth]);
      bytes += part.length;
      if (bytes > maxBytes) break;
      parts.push(part);
    }
    res.writeHead(200, {'content-type': 'application/octet-stream'});
    res.end(Buffer.concat(parts));
  }

  function newest(query) {
    if (!takeRead()) return {status: 429, body: {}};
    const log = logOf(query.get('topic'));
    const after = query.get('after') ?? '';
    const later = [...log.newest.values()]
      .filter(({key}) => key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const items = [];
    let bytes = 0;
    for (const {key, value, offset} of later) {
      bytes += value.length;
      if (items.length >= PAGE_RECORDS || (items.length && bytes > PAGE_BYTES))
        break;
      items.push({key, value: value.toString('base64'), offset});
    }
    const hasMore = items.length < later.length;
    return {status: 200, body: {items, hasMore, endOffset: endOf(log)}};
  }

  function send(res, {status, body}) {
    if (res.destroyed) return;
    res.writeHead(status, {'content-type': 'application/json'});
    res.end(JSON.stringify(body));
  }

  const server = http.createServer(async (req, res) => {
    const chunks = [];
    try {
      for await (const chunk of req) chunks.push(chunk);
    } catch {
      // The caller has gone before its call was complete.
      return;
    }
    const url = new URL(req.url, 'http://store');
    const query = url.searchParams;
    if (url.pathname === '/v1/log-append')
      return send(res, await append(query, Buffer.concat(chunks)));
    if (url.pathname === '/v1/log-read') return read(query, res);
    if (url.pathname === '/v1/log-newest') return send(res, newest(query));
    return send(res, {status: 404, body: {}});
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve) => server.listen(0, host, resolve));

  return {
    address: `${host}:${server.address().port}`,
    counts,
    /** A record of the operator or of a worker; undefined drops the key. */
    write(topic, key, value) {
      const text = value === undefined ? '' : JSON.stringify(value);
      put(logOf(topic), [{key, value: Buffer.from(text)}]);
    },
    /** The newest value of a key of the system's own topics, for the record. */
    peek(topic, key) {
      const value = logs.get(topic)?.newest.get(key)?.value;
      return value && JSON.parse(value.toString());
    },
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
