export * from './evacuation-state.js';
