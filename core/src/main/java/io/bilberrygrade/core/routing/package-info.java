/** Decides which endpoint serves a request. */
package io.bilberrygrade.core.routing;
