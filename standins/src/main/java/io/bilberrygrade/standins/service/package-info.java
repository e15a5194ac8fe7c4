/** Stand-in for a plain service whose calls may not be repeated. */
package io.bilberrygrade.standins.service;
