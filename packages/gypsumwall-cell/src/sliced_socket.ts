/**
 * Passes the bytes of a connection to Node's HTTP parser in slices. The parser
 * begins every request that a read of 64 KiB holds, which may be thousands, and
 * the objects of all of them live until the connection is closed. Between two
 * slices the parser can be stopped.
 */
import type * as net from 'node:net';

/** What becomes of the bytes that were not passed yet. */
export type SliceVerdict =
  | 'pass'
  /** They wait until the socket is resumed. */
  | 'hold'
  /** They are dropped. */
  | 'drop';

/** Decides before each slice; `restBytes` is what this read still holds. */
export type CheckSlice = (restBytes: number) => SliceVerdict;

/** Most requests fit into the first slice. */
const FIRST_SLICE_BYTES = 4_096;
/**
 * Small, because the collector of young objects has to run before the reads,
 * which it doesn't see, have filled the memory: each slice of a body leaves
 * objects that it does see.
 */
const SLICE_BYTES = 512;

/**
 * Puts itself between a socket that an HTTP server has just accepted and the
 * parser of the server.
 */
export function sliceSocket(socket: net.Socket, check: CheckSlice): void {
  const parsers = socket.listeners('data') as ((bytes: Buffer) => void)[];
  if (parsers.length !== 1) {
    throw new Error(
      `${parsers.length} data listeners on a new HTTP connection`,
    );
  }
  const [parse] = parsers;
  socket.removeAllListeners('data');
  socket.on('data', (bytes: Buffer) => {
    let offset = 0;
    while (offset < bytes.length) {
      switch (check(bytes.length - offset)) {
        case 'pass': {
          const length = offset === 0 ? FIRST_SLICE_BYTES : SLICE_BYTES;
          parse!(bytes.subarray(offset, offset + length));
          offset += length;
          break;
        }
        case 'hold':
          socket.pause();
          socket.unshift(bytes.subarray(offset));
          return;
        case 'drop':
          return;
      }
    }
  });
}
