/** Binary encoding of records in appends and reads. */
import type * as keyedLog from '../model/keyed_log.js';

const RECORD_LENGTH_BYTES = 4;
/** Two 64-bit integers: the log's end offset and its first offset. */
const READ_HEADER_BYTES = 16;

/** Decodes the records of an append; throws if a record is truncated. */
export function decodeEntries(bytes: Buffer): keyedLog.KeyedEntry[] {
  const entries: keyedLog.KeyedEntry[] = [];
  for (let at = 0; at < bytes.length;) {
    const from = at + RECORD_LENGTH_BYTES;
    const end = from + bytes.readUInt32BE(at);
    if (end > bytes.length) {
      throw new Error(`record at ${at}: ${end} bytes of ${bytes.length}`);
    }
    entries.push(decodeEntry(bytes.subarray(from, end)));
    at = end;
  }
  return entries;
}

function decodeEntry(content: Buffer): keyedLog.KeyedEntry {
  const keyEnd = 1 + content.readUInt8(0);
  return {
    key: content.toString('utf8', 1, keyEnd),
    value: content.toString('utf8', keyEnd),
  };
}

/** Encodes the answer to a read. */
export function encodeRead(
  outcome: Extract<keyedLog.ReadOutcome, {type: 'records'}>,
): Buffer {
  const head = Buffer.alloc(READ_HEADER_BYTES);
  head.writeBigUInt64BE(BigInt(outcome.endOffset));
  head.writeBigUInt64BE(BigInt(outcome.firstOffset), READ_HEADER_BYTES / 2);
  return Buffer.concat([head, ...outcome.records.map(encodeRecord)]);
}

function encodeRecord({key, value}: keyedLog.KeyedEntry): Buffer {
  const keyBytes = Buffer.from(key);
  const valueBytes = Buffer.from(value);
  const head = Buffer.alloc(RECORD_LENGTH_BYTES + 1);
  head.writeUInt32BE(1 + keyBytes.length + valueBytes.length);
  head.writeUInt8(keyBytes.length, RECORD_LENGTH_BYTES);
  return Buffer.concat([head, keyBytes, valueBytes]);
}
