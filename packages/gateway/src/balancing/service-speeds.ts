import {ServiceSpeed} from '@wisteriadeal/decisions';

/** What a host knows of the speed of each service. */
export class ServiceSpeeds {
  private readonly speeds = new Map<string, ServiceSpeed>();

  /** The speed of a service; nothing is known of it at first. */
  of(service: string): ServiceSpeed {
    let speed = this.speeds.get(service);
    if (speed === undefined) {
      speed = new ServiceSpeed();
      this.speeds.set(service, speed);
    }
    return speed;
  }
}
