/**
 * Pool of connections to one upstream. The limit counts idle connections and
 * those in use; no connection is opened above it. Each connection can be
 * replaced without affecting the others.
 */
import * as undici from 'undici';
import type * as types from '@gypsumwall/types';

/** Address of the upstream, connection limit, and clock. */
export interface UpstreamConnectionsOptions {
  readonly address: string;
  readonly limit: number;
  readonly clock: types.clock.Clock;
}

/** One connection; it carries one request at a time. */
export interface UpstreamConnection {
  readonly client: undici.Client;
  /** When its last request ended, or when it was created. */
  lastUsedAt: types.clock.MonotonicMs;
  /**
   * How many times the connection was established. It can be more than once,
   * because undici reconnects a closed client.
   */
  connectCount: number;
}

/** Pool of the connections to one upstream. */
export interface UpstreamConnections {
  /**
   * Returns an idle connection or a new one, which connects on first use.
   * Returns undefined if the limit is reached and none is idle. Connections
   * idle for longer than `maxIdleMs` are closed first.
   */
  acquire(maxIdleMs: number): UpstreamConnection | undefined;
  /**
   * Makes the connection available to the next request. If there are more
   * connections than the limit, closes the one that was released first.
   */
  release(connection: UpstreamConnection): void;
  /** Closes all idle connections. */
  closeIdle(): void;
  setLimit(limit: number): void;
  /** Resolves when the requests in progress have ended. */
  close(): Promise<void>;
}

/** A request that gets no connection within this time fails as not run. */
const CONNECT_TIMEOUT_MS = 1_000;

/** Creates an empty pool. */
export function createUpstreamConnections(
  options: UpstreamConnectionsOptions,
): UpstreamConnections {
  let {limit} = options;
  let openCount = 0;
  const idle: UpstreamConnection[] = [];
  let onAllClosed: () => void = () => undefined;

  const destroy = (connection: UpstreamConnection) => {
    openCount -= 1;
    void connection.client.destroy();
    if (openCount === 0) onAllClosed();
  };
  const closeAboveLimit = () => {
    while (openCount > limit) {
      const oldest = idle.shift();
      if (oldest === undefined) return;
      destroy(oldest);
    }
  };
  const closeIdle = () => idle.splice(0).forEach(destroy);
  const closeIdleSince = (moment: number) => {
    // Sorted by the time of last use, the oldest first.
    while ((idle[0]?.lastUsedAt ?? Infinity) < moment) {
      idle.splice(0, 1).forEach(destroy);
    }
  };

  return {
    acquire: (maxIdleMs) => {
      closeIdleSince(options.clock.monotonic() - maxIdleMs);
      const lastUsed = idle.pop();
      if (lastUsed !== undefined) return lastUsed;
      if (openCount >= limit) return undefined;
      openCount += 1;
      return connect(options);
    },
    release: (connection) => {
      connection.lastUsedAt = options.clock.monotonic();
      idle.push(connection);
      closeAboveLimit();
    },
    closeIdle,
    setLimit: (wanted) => {
      limit = wanted;
      closeAboveLimit();
    },
    close: async () => {
      limit = 0;
      closeIdle();
      if (openCount === 0) return;
      await new Promise<void>((resolve) => (onAllClosed = resolve));
    },
  };
}

function connect(options: UpstreamConnectionsOptions): UpstreamConnection {
  const client = new undici.Client(options.address, {
    pipelining: 1,
    connect: {timeout: CONNECT_TIMEOUT_MS},
    // The deadline of each request bounds the wait for its answer instead.
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  const usedAt = options.clock.monotonic();
  const connection: UpstreamConnection = {
    client,
    lastUsedAt: usedAt,
    connectCount: 0,
  };
  client.on('connect', () => (connection.connectCount += 1));
  return connection;
}
