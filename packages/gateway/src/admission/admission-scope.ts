import type {FleetConfiguration, Organisation} from '../configuration.js';

/** What a configuration says of the admission of requests to one service. */
export interface ServiceScope {
  /** Priority of its most urgent routes. */
  readonly mostUrgentPriority: number;
}

/**
 * The services of a configuration to which admission control applies: those with model
 * engines whose routes have different priorities.
 */
export class AdmissionScope {
  private readonly services = new Map<string, ServiceScope>();
  private readonly meanPrepaid: number;

  constructor(configuration: FleetConfiguration) {
    for (const [name, {engine}] of configuration.services) {
      const priorities = configuration.routes
        .filter(route => route.services.some(({service}) => service === name))
        .map(({priority}) => priority);
      if (engine !== undefined && new Set(priorities).size > 1) {
        this.services.set(name, {mostUrgentPriority: Math.min(...priorities)});
      }
    }
    const prepaid = configuration.organisations
      .map(organisation => organisation.prepaid ?? 0)
      .filter(tokens => tokens > 0);
    this.meanPrepaid =
      prepaid.reduce((sum, tokens) => sum + tokens, 0) / prepaid.length;
  }

  /** Undefined if admission control does not apply to the service. */
  scopeOf(service: string): ServiceScope | undefined {
    return this.services.get(service);
  }

  /**
   * An organisation's part of the capacity: the tokens it has paid for, or the mean of
   * the others if it has no budget.
   */
  weightOf(organisation: Organisation | undefined): number {
    const prepaid = organisation?.prepaid ?? 0;
    return prepaid > 0 ? prepaid : this.meanPrepaid || 1;
  }
}
