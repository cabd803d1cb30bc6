import type {StandInProcessSettings} from '@wisteriadeal/schema';

/** The settings' part `process`, without which a stand-in can't listen. */
export function requireProcess(
  settings: StandInProcessSettings | undefined,
): StandInProcessSettings {
  if (settings === undefined) {
    throw new Error('the settings lack the key process');
  }
  return settings;
}
