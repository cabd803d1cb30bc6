import type {StandInProcessSettings} from '@wisteriadeal/schema';

/**
 * Returns the settings under the key `process`, which a stand-in needs to listen.
 *
 * @throws An error if the key is missing.
 */
export function requireProcess(
  settings: StandInProcessSettings | undefined,
): StandInProcessSettings {
  if (settings === undefined) {
    throw new Error("the settings are missing the required key 'process'");
  }
  return settings;
}
