/**
 * Counts what the requests of each connection hold, and decides which
 * connection has to go when all of them hold too much: the one that holds most.
 * So a few connections that hold a lot never push out many that hold little.
 */
import type * as clientLimits from './client_limits.js';

/** Why the requests of a connection were given up. */
export type ShedReason =
  /** It has sent too many requests without reading their answers. */
  | 'too_many_requests'
  /** It sends on although it doesn't read. */
  | 'answers_unread'
  /** A request did not arrive in time, or its answer was not read in time. */
  | 'timed_out'
  /** It held most when all connections held too much. */
  | 'too_much_held'
  /** It kept the entry waiting when a new one needed its slot. */
  | 'slot_needed'
  /** It was new, and no other could be closed for it. */
  | 'no_slot';

/** What one request holds until it ends. */
export interface RequestCharge {
  /**
   * Adds bytes. Returns false if the request's own connection had to go; the
   * bytes must not be held then.
   */
  add(bytes: number): boolean;
  /**
   * Says whether the end of the connection would release the bytes; it would
   * not while a handler is at work.
   */
  setReleasable(isReleasable: boolean): void;
  /** Releases everything; later calls have no effect. */
  end(): void;
}

/** The connections of one server. */
export interface ConnectionLedger<Connection> {
  open(connection: Connection): void;
  /**
   * Forgets a connection. Its requests that are still carried out count until
   * their end, although nobody waits for them.
   */
  close(connection: Connection): void;
  /**
   * Counts a request, which holds nothing yet. Returns undefined if the
   * connection has sent too many, and sheds it then.
   */
  begin(connection: Connection): RequestCharge | undefined;
  /** Gives up a connection for a reason that the ledger doesn't know. */
  shed(connection: Connection, reason: ShedReason): void;
  /** Whether shed connections still hold what others may not. */
  isFull(): boolean;
  /** Bytes that all requests hold. */
  heldBytes(): number;
  connections(): number;
}

/** Options of {@link createConnectionLedger}. */
export interface ConnectionLedgerOptions<Connection> {
  readonly limits: clientLimits.ClientLimits;
  /**
   * Gives up a connection. Called once for each; its charges have to end when
   * what they stand for is free. Memory is not free before the socket has been
   * closed, which it is only after all sockets that are ready were read.
   */
  readonly shed: (connection: Connection, reason: ShedReason) => void;
}

interface Account<Connection> {
  readonly connection: Connection;
  requests: number;
  releasableBytes: number;
  isShed: boolean;
}

/** Creates a ledger without connections. */
export function createConnectionLedger<Connection>({
  limits,
  shed,
}: ConnectionLedgerOptions<Connection>): ConnectionLedger<Connection> {
  const accounts = new Map<Connection, Account<Connection>>();
  let heldBytes = 0;
  /** Of connections that were not shed. */
  let releasableBytes = 0;
  /** Of connections that were shed and whose requests have not ended. */
  let pendingBytes = 0;

  function shedOnce(account: Account<Connection>, reason: ShedReason): void {
    if (account.isShed) return;
    account.isShed = true;
    releasableBytes -= account.releasableBytes;
    pendingBytes += account.releasableBytes;
    shed(account.connection, reason);
  }

  /** What will be held once the shed connections are gone. */
  function remainingBytes(): number {
    return heldBytes - pendingBytes;
  }

  /** Sheds connections until what remains is within the limit. */
  function relieve(requester: Account<Connection>): void {
    // Shedding the others would not help.
    if (remainingBytes() - releasableBytes > limits.maxHeldBytes)
      shedOnce(requester, 'too_much_held');
    while (remainingBytes() > limits.maxHeldBytes && !requester.isShed)
      shedOnce(findHeaviest(requester), 'too_much_held');
  }

  /** The requester goes only if no other connection holds as much. */
  function findHeaviest(requester: Account<Connection>): Account<Connection> {
    let heaviest = requester;
    for (const account of accounts.values()) {
      if (account.isShed || account === requester) continue;
      const isHeavier =
        heaviest === requester
          ? account.releasableBytes >= requester.releasableBytes
          : account.releasableBytes > heaviest.releasableBytes;
      if (isHeavier) heaviest = account;
    }
    return heaviest;
  }

  function createCharge(account: Account<Connection>): RequestCharge {
    let ownBytes = 0;
    let isReleasable = true;
    let isEnded = false;

    function changeReleasable(bytes: number): void {
      account.releasableBytes += bytes;
      if (account.isShed) pendingBytes += bytes;
      else releasableBytes += bytes;
    }

    return {
      add(bytes) {
        if (isEnded) return false;
        ownBytes += bytes;
        heldBytes += bytes;
        if (isReleasable) changeReleasable(bytes);
        if (remainingBytes() > limits.maxHeldBytes) relieve(account);
        return !account.isShed;
      },
      setReleasable(next) {
        if (isEnded || next === isReleasable) return;
        isReleasable = next;
        changeReleasable(next ? ownBytes : -ownBytes);
      },
      end() {
        if (isEnded) return;
        isEnded = true;
        account.requests--;
        heldBytes -= ownBytes;
        if (isReleasable) changeReleasable(-ownBytes);
      },
    };
  }

  return {
    open(connection) {
      accounts.set(connection, {
        connection,
        requests: 0,
        releasableBytes: 0,
        isShed: false,
      });
    },
    close(connection) {
      accounts.delete(connection);
    },
    begin(connection) {
      const account = accounts.get(connection);
      if (account === undefined || account.isShed) return undefined;
      if (account.requests >= limits.maxRequestsPerConnection) {
        shedOnce(account, 'too_many_requests');
        return undefined;
      }
      account.requests++;
      return createCharge(account);
    },
    shed(connection, reason) {
      const account = accounts.get(connection);
      if (account !== undefined) shedOnce(account, reason);
    },
    isFull: () => heldBytes > limits.maxHeldBytes,
    heldBytes: () => heldBytes,
    connections: () => accounts.size,
  };
}
