/** Implements `entry`: runs an entry process until its planned stop. */
import * as nodeCrypto from 'node:crypto';
import type * as entryPackage from '@gypsumwall/entry';
import type * as settings from '@gypsumwall/settings';
import * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import type * as callFlags from './call_flags.js';
import * as fail from './fail.js';
import * as readSettings from './read_settings.js';

const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;

/** Runs until a stop signal, then drains; resolves when the entry is closed. */
export async function runEntry(
  settingsFile: string,
  print: callFlags.Print,
): Promise<void> {
  const cfg = readSettings.readEntrySettings(settingsFile);
  const logger = telemetry.logger.createLogger(cfg.logLevel, {entry: cfg.id});
  const stopSignal = waitForStopSignal();
  const entry = await startEntry(cfg, logger);
  const {address, peerAddress} = entry;
  print(JSON.stringify({event: 'listening', id: cfg.id, address, peerAddress}));
  const signal = await stopSignal;
  logger.info('stopping', {signal});
  await entry.drain();
  await entry.close();
  logger.info('stopped');
}

async function startEntry(
  cfg: settings.entrySettings.EntrySettings,
  logger: telemetry.logger.Logger,
): Promise<entryPackage.entry.Entry> {
  const seed = nodeCrypto.randomBytes(4).readInt32LE();
  const {entry} = await import('@gypsumwall/entry');
  try {
    return await entry.createEntry({
      settings: cfg,
      clock: types.clock.createSystemClock(),
      random: types.random.createRandom(seed),
      logger,
    });
  } catch (thrown) {
    return fail.fail('failed', describeStartError(cfg, thrown));
  }
}

/**
 * Describes why the entry can't start. Most failures are due to an address that
 * is in use or doesn't belong to this machine, so the message names them.
 */
function describeStartError(
  cfg: settings.entrySettings.EntrySettings,
  thrown: unknown,
): string {
  const cause = types.stepError.messageOf(thrown);
  return (
    `the entry can't start: ${cause}. If the cause is an address, change ` +
    `host = "${cfg.host}", port = ${cfg.port} or peerPort = ${cfg.peerPort}.`
  );
}

/** Resolves with the first stop signal; later ones don't cut the drain short. */
function waitForStopSignal(): Promise<string> {
  return new Promise((resolve) => {
    for (const signal of STOP_SIGNALS) process.on(signal, resolve);
  });
}
