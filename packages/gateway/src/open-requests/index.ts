export {OpenRequests} from './open-requests.js';
export {
  RequestProgress,
  RequestStage,
  RequestWithdrawnError,
} from './request-progress.js';
