/** Runs prompts on gangs of engines: grants, reservations, segment prefill and release. */
package io.bilberrygrade.serving.gang;
