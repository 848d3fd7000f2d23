/**
 * Watches the memory and the descriptors of a process on Linux. Bytes that the
 * kernel has received for a listener and the process has not read count as its
 * memory, as they do on the platform.
 */
import * as fs from 'node:fs';
import * as net from 'node:net';

/** The highest values that were seen. */
export interface ProcessPeaks {
  readonly memoryMb: number;
  /** Descriptors of sockets and pipes; files have a reserve of their own. */
  readonly sockets: number;
}

/** A watch that samples until it is stopped. */
export interface ProcessWatch {
  peaks(): ProcessPeaks;
  /** Bytes that the process has not read yet. */
  unreadBytes(): number;
  stop(): void;
}

const SAMPLE_INTERVAL_MS = 20;
const KIB_PER_MIB = 1_024;
const BYTES_PER_MIB = 1_048_576;
const SOCKET_PATTERN = /^(socket|pipe):/;

/** Starts to watch a process and its listener at `host:port`. */
export function watchProcess(pid: number, address: string): ProcessWatch {
  const localAddress = encodeLocalAddress(address);
  let memoryMb = 0;
  let sockets = 0;

  function sample(): void {
    const status = readFile(`/proc/${pid}/status`);
    const resident = readKib(status, 'VmRSS') / KIB_PER_MIB;
    const unread = sumUnreadBytes(localAddress) / BYTES_PER_MIB;
    const highest = readKib(status, 'VmHWM') / KIB_PER_MIB;
    memoryMb = Math.max(memoryMb, highest, resident + unread);
    sockets = Math.max(sockets, countSockets(pid));
  }

  sample();
  const timer = setInterval(sample, SAMPLE_INTERVAL_MS);
  return {
    peaks() {
      sample();
      return {memoryMb, sockets};
    },
    unreadBytes: () => sumUnreadBytes(localAddress),
    stop: () => clearInterval(timer),
  };
}

/** Returns an empty text for a file that is gone, as its process is. */
function readFile(path: string): string {
  try {
    return fs.readFileSync(path, 'utf8');
  } catch {
    return '';
  }
}

function readKib(status: string, name: string): number {
  const found = new RegExp(`^${name}:\\s+(\\d+) kB$`, 'm').exec(status);
  return Number(found?.[1] ?? 0);
}

function countSockets(pid: number): number {
  const folder = `/proc/${pid}/fd`;
  try {
    return fs
      .readdirSync(folder)
      .filter((fd) => SOCKET_PATTERN.test(readLink(`${folder}/${fd}`))).length;
  } catch {
    return 0;
  }
}

function readLink(path: string): string {
  try {
    return fs.readlinkSync(path);
  } catch {
    return '';
  }
}

/** Encodes an IPv4 address and a port as `/proc/net/tcp` shows them. */
function encodeLocalAddress(address: string): string {
  const [host = '', port = ''] = address.split(':');
  if (!net.isIPv4(host)) throw new Error(`${address}: give an IPv4 address`);
  const hex = (value: number, digits: number) =>
    value.toString(16).toUpperCase().padStart(digits, '0');
  const bytes = host.split('.').map((byte) => hex(Number(byte), 2));
  return `${bytes.reverse().join('')}:${hex(Number(port), 4)}`;
}

/** Sums the receive queues of the connections that a listener has accepted. */
function sumUnreadBytes(localAddress: string): number {
  const ESTABLISHED = '01';
  let sum = 0;
  for (const line of readFile('/proc/net/tcp').split('\n')) {
    const [, local, , state, queues] = line.trim().split(/\s+/);
    if (local !== localAddress || state !== ESTABLISHED) continue;
    sum += parseInt(queues!.split(':')[1]!, 16);
  }
  return sum;
}
