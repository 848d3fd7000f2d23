/**
 * The connections to one upstream: never more than the share allows, counting
 * those that still carry a request, and each replaceable by itself.
 */
import * as undici from 'undici';
import type * as types from '@gypsumwall/types';

/** Where to, how many, and by which clock. */
export interface UpstreamConnectionsOptions {
  readonly address: string;
  readonly limit: number;
  readonly clock: types.clock.Clock;
}

/** One connection; it carries one request at a time. */
export interface UpstreamConnection {
  readonly client: undici.Client;
  /** When it last carried something. */
  usedAt: types.clock.MonotonicMs;
  /** How many times it was opened: undici opens a closed one again. */
  opened: number;
}

/** All connections to one upstream. */
export interface UpstreamConnections {
  /**
   * A connection that carries nothing, opened on use; undefined when the
   * limit is in use. One idle for longer than `maxIdleMs` is replaced.
   */
  take(maxIdleMs: number): UpstreamConnection | undefined;
  /** Keeps it for the next request, or closes it when above the limit. */
  giveBack(connection: UpstreamConnection): void;
  /** Closes every connection that carries nothing. */
  dropIdle(): void;
  setLimit(limit: number): void;
  /** Resolves when what is carried has ended. */
  close(): Promise<void>;
}

/** A connection that isn't made within this is refused as not run. */
const CONNECT_TIMEOUT_MS = 1_000;

/** Makes a set without connections. */
export function createUpstreamConnections(
  options: UpstreamConnectionsOptions,
): UpstreamConnections {
  let {limit} = options;
  let open = 0;
  const idle: UpstreamConnection[] = [];
  let allClosed: () => void = () => undefined;

  const destroy = (connection: UpstreamConnection) => {
    open -= 1;
    void connection.client.destroy();
    if (open === 0) allClosed();
  };
  const closeAboveLimit = () => {
    while (open > limit) {
      const oldest = idle.shift();
      if (oldest === undefined) return;
      destroy(oldest);
    }
  };
  const dropIdle = () => idle.splice(0).forEach(destroy);
  const dropIdleSince = (moment: number) => {
    // The one used last comes last.
    while ((idle[0]?.usedAt ?? Infinity) < moment) {
      idle.splice(0, 1).forEach(destroy);
    }
  };

  return {
    take: (maxIdleMs) => {
      dropIdleSince(options.clock.monotonic() - maxIdleMs);
      const warm = idle.pop();
      if (warm !== undefined) return warm;
      if (open >= limit) return undefined;
      open += 1;
      return connect(options);
    },
    giveBack: (connection) => {
      connection.usedAt = options.clock.monotonic();
      idle.push(connection);
      closeAboveLimit();
    },
    dropIdle,
    setLimit: (wanted) => {
      limit = wanted;
      closeAboveLimit();
    },
    close: async () => {
      limit = 0;
      dropIdle();
      if (open === 0) return;
      await new Promise<void>((resolve) => (allClosed = resolve));
    },
  };
}

function connect(options: UpstreamConnectionsOptions): UpstreamConnection {
  const client = new undici.Client(options.address, {
    pipelining: 1,
    connect: {timeout: CONNECT_TIMEOUT_MS},
    // The deadline of each request is the only bound on its silence.
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  const usedAt = options.clock.monotonic();
  const connection: UpstreamConnection = {client, usedAt, opened: 0};
  client.on('connect', () => (connection.opened += 1));
  return connection;
}
