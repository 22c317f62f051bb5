import { defineError } from './types.ts'

/** Errors of draft requests and of the HTTP interface for callers. */
export const requestErrors = {
  BadRequest: defineError<{ problem: string }>({
    title: 'Bad request',
    message: ({ problem }) => `The request is invalid: ${problem}.`,
    hint: 'Correct the request and send it again.'
  }),
  RequestRefused: defineError<{ reason: string, retryAtMs: number | undefined }>({
    title: 'Request refused',
    message: ({ reason }) => `The request was refused: ${reason}.`,
    hint: 'Send the request again after the time given by Retry-After.'
  }),
  BackendFailed: defineError<{ backend: string, cause: string }>({
    title: 'Backend server failed',
    message: ({ backend, cause }) => `Backend server "${backend}" failed: ${cause}.`,
    hint: 'The request is retried at another backend server if that is safe. Check the backend server if this happens repeatedly.'
  }),
  AnswerIncomplete: defineError<{ backend: string, events: number }>({
    title: 'Response incomplete',
    message: ({ backend, events }) => `The response of backend server "${backend}" ended after ${events} events without the final event.`,
    hint: 'Resume the stream with the same key and the last event id.'
  })
}
