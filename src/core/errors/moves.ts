import { defineError } from './types.ts'

/** Errors of version moves. */
export const moveErrors = {
  MoveConflict: defineError<{ team: string, running: string }>({
    title: 'Version move already running',
    message: ({ team, running }) => `A version move of team "${team}" to version "${running}" is already running.`,
    hint: 'Wait until the move ends, or withdraw it first.'
  })
}
