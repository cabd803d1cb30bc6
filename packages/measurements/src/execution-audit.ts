import type {Fleet} from './fleet.js';

interface AttemptList {
  readonly attempts: readonly {
    readonly attemptId: string;
    readonly completionTokens: number;
  }[];
}

interface ExecutionList {
  readonly executions: Readonly<Record<string, number>>;
}

/** Executions that the endpoints report, by request. */
export class ExecutionAudit {
  private constructor(
    /** Number of attempts that engines accepted, by request identifier. */
    private readonly attempts: ReadonlyMap<string, number>,
    /** Number of executions at plain services, by request identifier. */
    private readonly executions: ReadonlyMap<string, number>,
  ) {}

  /** Reads the executions of all endpoints. */
  static async read(fleet: Fleet): Promise<ExecutionAudit> {
    const attempts = new Map<string, number>();
    for (const engine of fleet.engines) {
      const list = await engine.control.read('/control/attempts');
      for (const {attemptId} of (list as AttemptList).attempts) {
        const requestId = attemptId.split('.')[0] ?? '';
        attempts.set(requestId, (attempts.get(requestId) ?? 0) + 1);
      }
    }
    const executions = new Map<string, number>();
    for (const service of fleet.plainServices) {
      const list = await service.control.read('/control/executions');
      const entries = Object.entries((list as ExecutionList).executions);
      for (const [requestId, count] of entries) {
        executions.set(requestId, (executions.get(requestId) ?? 0) + count);
      }
    }
    return new ExecutionAudit(attempts, executions);
  }

  /** Returns how often a request ran, summed over all endpoints. */
  countExecutions(requestId: string): number {
    return (
      (this.attempts.get(requestId) ?? 0) +
      (this.executions.get(requestId) ?? 0)
    );
  }
}
