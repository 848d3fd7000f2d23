/** Configuration of the platform for a campaign. */
import * as emulatorConfig from '../config/emulator_config.js';

/** The queue that the jobs go to. */
export const QUEUE = 'checks';

const WORKERS_PER_ZONE = 2;

/** Creates the configuration, with one entry in each zone. */
export function createCampaignConfig(
  seed: number,
  entries: number,
  organisations: number,
  cpuShare = 1,
): emulatorConfig.EmulatorConfig {
  return emulatorConfig.emulatorConfigSchema.parse({
    seed,
    zones: Array.from({length: entries}, (_, nth) => `zone-${nth + 1}`),
    pools: [
      {
        name: 'general',
        workersPerZone: WORKERS_PER_ZONE,
        workersPerRack: WORKERS_PER_ZONE,
        capacity: {cpuMillis: 16_000, memoryMb: 32_768},
        refusesExcess: true,
      },
    ],
    queues: [
      {
        name: QUEUE,
        host: 'checks.example',
        pathPrefix: '/checks/',
        pool: 'general',
        targetMs: 250,
      },
    ],
    organisations: Array.from({length: organisations}, (_, nth) => ({
      name: `org${nth + 1}`,
      keys: [`org${nth + 1}-1`],
    })),
    entries: {cpuShare},
    workers: {keepIds: true},
    store: {appendMs: 6},
  });
}
