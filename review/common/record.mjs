import {writeFileSync} from 'node:fs';

/** What was sent, answered and run, with the time since the start of the traffic. */
export class Record {
  lines = [];
  startedAt = performance.now();

  constructor(path) {
    this.path = path;
  }

  /** Time since the start of the traffic, milliseconds. */
  get now() {
    return performance.now() - this.startedAt;
  }

  startTraffic() {
    this.startedAt = performance.now();
  }

  add(event, fields = {}) {
    const text = Object.entries(fields)
      .filter(([, value]) => value !== undefined)
      .map(([name, value]) => `${name}=${value}`)
      .join(' ');
    this.lines.push(`${(this.now / 1000).toFixed(3)} ${event} ${text}`);
  }

  write() {
    writeFileSync(this.path, `${this.lines.join('\n')}\n`);
  }
}
