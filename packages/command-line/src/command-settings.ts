import {
  ExitCode,
  formatSettingsProblem,
  loadSettings,
  settingsCheckOf,
} from '@wisteriadeal/runtime';
import {
  CommandLineSettingsSchema,
  type PlatformSettings,
} from '@wisteriadeal/schema';

import {CommandError} from './command-error.js';

/** The settings file that is read without `--settings`. */
export const DEFAULT_SETTINGS_FILE = 'wisteriadeal.jsonc';

/** Settings with all required parts present. */
export interface CheckedSettings {
  readonly platform: PlatformSettings;
  readonly ledgerStreams: number;
  readonly operator: string;
  readonly controlAddresses: readonly string[];
}

/**
 * Reads and validates the settings of the command line.
 *
 * @throws CommandError that lists every problem, one per line.
 */
export function loadCommandSettings(file: string): CheckedSettings {
  const result = loadSettings(
    CommandLineSettingsSchema,
    file,
    settingsCheckOf(CommandLineSettingsSchema),
  );
  if (result.err) {
    throw new CommandError(
      ExitCode.Configuration,
      result.val.map(formatSettingsProblem).join('\n'),
      `Correct the settings, or name another file with --settings.`,
    );
  }
  const {platform, ledgerStreams, operator, controlAddresses} = result.val;
  if (platform === undefined) {
    throw new Error('platform: missing although the settings were validated');
  }
  return {platform, ledgerStreams, operator, controlAddresses};
}
