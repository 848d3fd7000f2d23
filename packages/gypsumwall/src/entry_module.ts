/** What this package uses of `@gypsumwall/entry`. */
import type * as settings from '@gypsumwall/settings';
import type * as telemetry from '@gypsumwall/telemetry';
import type * as types from '@gypsumwall/types';

/** A running entry. */
export interface Entry {
  /** Where callers reach it. */
  readonly address: string;
  /** Where other entries reach it. */
  readonly peerAddress: string;
  /** Takes nothing new and finishes what is in flight. */
  drain(): Promise<void>;
  close(): Promise<void>;
}

/** The entry package, as far as a command needs it. */
export interface EntryModule {
  readonly entry: {
    createEntry(options: {
      settings: settings.entrySettings.EntrySettings;
      clock: types.clock.Clock;
      random: types.random.Random;
      logger: telemetry.logger.Logger;
    }): Promise<Entry>;
  };
}
