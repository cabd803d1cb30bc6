import {readFileSync} from 'node:fs';

import type {Result} from './results.js';
import type {SettingsProblem} from './settings-file.js';

/**
 * Interval at which the file is compared with its last contents. The users' platform
 * sometimes changes the file without a signal and requires a change to take effect
 * within 2 s.
 */
export const SETTINGS_POLL_INTERVAL_MILLISECONDS = 1_000;

/** Receives reloaded settings. */
export interface SettingsListener<Settings> {
  /** Called with valid settings. */
  reload(settings: Settings): void;
  /** Called with the problems of invalid settings; the current ones stay in force. */
  reject(problems: readonly SettingsProblem[]): void;
}

/**
 * Reloads the settings on a signal or when the file has changed. A signal that arrives
 * during the start is recorded until a listener is set: without a handler SIGHUP would
 * end the process.
 */
export class SettingsWatch<Settings> {
  private listener: SettingsListener<Settings> | undefined;
  private hasChanged = false;
  private text: string | undefined;

  /** @param load Reads and validates the file. */
  constructor(
    private readonly path: string,
    private readonly load: () => Result<Settings, readonly SettingsProblem[]>,
  ) {
    this.text = this.read();
  }

  /** Sets the listener and notifies it at once of a change signalled earlier. */
  start(listener: SettingsListener<Settings>): void {
    this.listener = listener;
    if (this.hasChanged) {
      this.handleChange();
    }
  }

  /** Reloads the file and notifies the listener, or records the change without one. */
  handleChange(): void {
    this.hasChanged = true;
    this.text = this.read();
    if (this.listener === undefined) {
      return;
    }
    const settings = this.load();
    if (settings.err) {
      this.listener.reject(settings.val);
    } else {
      this.listener.reload(settings.val);
    }
  }

  /** Reloads the file if it has changed without a signal. */
  poll(): void {
    const text = this.read();
    if (text !== undefined && text !== this.text) {
      this.handleChange();
    }
  }

  private read(): string | undefined {
    try {
      return readFileSync(this.path, 'utf8');
    } catch {
      // The file may be missing while it is being replaced; the next poll reads it.
      return undefined;
    }
  }
}
