/** Clients of model engines and plain services. */
export type * from './types.ts'
export { AttemptError } from './types.ts'
export { createEngineClient } from './engine-client.ts'
export type { EngineClientOptions } from './engine-client.ts'
export { blockChars, blockTokens, charsPerToken, countTokens, createPromptHasher } from './prompt-blocks.ts'
export type { HashPrompt } from './prompt-blocks.ts'
