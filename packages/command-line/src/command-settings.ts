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

/** The settings file that is read where no other is named. */
export const DEFAULT_SETTINGS_FILE = 'wisteriadeal.jsonc';

/** Settings whose required parts are there. */
export interface CheckedSettings {
  readonly platform: PlatformSettings;
  readonly ledgerStreams: number;
  readonly operator: string;
  readonly controlAddresses: readonly string[];
}

/**
 * Reads the settings of the command line.
 *
 * @throws CommandError that lists every problem.
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
    throw new Error('settings were not checked');
  }
  return {platform, ledgerStreams, operator, controlAddresses};
}
