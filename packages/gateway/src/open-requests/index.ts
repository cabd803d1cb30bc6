export {OpenRequests} from './open-requests.js';
export {RequestProgress, RequestStage} from './request-progress.js';
