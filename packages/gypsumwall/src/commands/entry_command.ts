/** `gypsumwall entry`: runs one entry process until it is told to stop. */
import * as nodeCrypto from 'node:crypto';
import * as oclif from '@oclif/core';
import * as settings from '@gypsumwall/settings';
import * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import type * as entryModule from '../entry_module.js';
import * as readInput from '../read_input.js';

const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;

/** Runs an entry process. */
export class EntryCommand extends oclif.Command {
  static override summary = 'Run one entry process.';
  static override description =
    'Prints one JSON line once it listens, with its id and addresses. SIGTERM ' +
    'and SIGINT are a planned stop: nothing new is taken, what is in flight ' +
    'is finished, and the process ends with 0.';
  static override examples = [
    '<%= config.bin %> <%= command.id %> --settings entry.jsonc',
  ];
  static override flags = {
    settings: oclif.Flags.string({
      required: true,
      helpValue: 'FILE',
      description: 'settings of this process, JSON with comments',
    }),
  };

  override async run(): Promise<void> {
    const {flags} = await this.parse(EntryCommand);
    const checked = settings.checkEntrySettings.checkEntrySettings(
      readInput.readInput(flags.settings),
      flags.settings,
    );
    if (checked.isErr) return readInput.failWithProblems(checked.error);
    await runEntry(checked.value, (line) => this.log(line));
  }
}

async function runEntry(
  cfg: settings.entrySettings.EntrySettings,
  print: (line: string) => void,
): Promise<void> {
  const logger = telemetry.logger.createLogger(cfg.logLevel, {entry: cfg.id});
  const stopSignal = nextSignal();
  const seed = nodeCrypto.randomBytes(4).readInt32LE();
  // Loaded here, so that the light commands don't pay for it.
  const module =
    (await import('@gypsumwall/entry')) as unknown as entryModule.EntryModule;
  const entry = await module.entry.createEntry({
    settings: cfg,
    clock: types.clock.createSystemClock(),
    random: types.random.createRandom(seed),
    logger,
  });
  const {address, peerAddress} = entry;
  print(JSON.stringify({event: 'listening', id: cfg.id, address, peerAddress}));
  const signal = await stopSignal;
  logger.info('stopping', {signal});
  await entry.drain();
  await entry.close();
  logger.info('stopped');
}

/** The first stop signal; later ones change nothing, as a drain has an end. */
function nextSignal(): Promise<string> {
  return new Promise((resolve) => {
    for (const signal of STOP_SIGNALS) process.on(signal, resolve);
  });
}
