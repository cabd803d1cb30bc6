export * from './caller-overflow.js';
